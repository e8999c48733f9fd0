"""Send prompts that crash engines to a fleet, among sound ones."""

import asyncio
import time

import aiohttp
import attrs

from emulator.fleet import Fleet, FleetNode
from tests.fleet_clients import request_stream

COMMON_SEGMENT = 'aa01'
SOUND_SEGMENT = 'bb02'
FATAL_SEGMENT = 'dd04'
SEND_INTERVAL_S = 0.05


@attrs.frozen(kw_only=True)
class SentPrompt:
    """Record one request, its status and when it was sent.

    ``sent_s`` is in seconds of ``time.monotonic``; ``status`` is 0 if the
    connection was closed without a whole response.
    """

    segment: str
    sent_s: float
    status: int
    text: str


@attrs.define(kw_only=True)
class PromptTraffic:
    """Send a prompt to the VMs in turn at a fixed interval.

    Of three prompts one contains a segment of ``fatal_segments``, chosen in
    turn. All others are sound. All share their first segment and their caller.
    """

    fleet: Fleet
    nodes: list[FleetNode]
    http: aiohttp.ClientSession
    fatal_segments: tuple[str, ...] = ()
    path: str = '/note/1'
    sent: list[SentPrompt] = attrs.field(factory=list)
    next_number: int = 0

    async def run(self, duration_s: float) -> None:
        """Send prompts for ``duration_s`` seconds and await all responses."""
        end_s = time.monotonic() + duration_s
        tasks = []
        while time.monotonic() < end_s:
            tasks.append(asyncio.create_task(self._send_next()))
            await asyncio.sleep(SEND_INTERVAL_S)
        await asyncio.gather(*tasks)

    def sound_share_served(self, from_s: float, until_s: float) -> float:
        """Return the share of the sound prompts sent then that was served."""
        statuses = [
            prompt.status
            for prompt in self.sent
            if prompt.segment == SOUND_SEGMENT
            and from_s <= prompt.sent_s < until_s
        ]
        return statuses.count(200) / len(statuses)

    def answers_of(self, segment: str) -> list[SentPrompt]:
        """Return the requests with ``segment`` in the order of sending."""
        return sorted(
            (prompt for prompt in self.sent if prompt.segment == segment),
            key=lambda prompt: prompt.sent_s,
        )

    async def _send_next(self) -> None:
        number = self.next_number
        self.next_number += 1
        node = self.nodes[(number + number // 3) % len(self.nodes)]
        segment = SOUND_SEGMENT
        if self.fatal_segments and number % 3 == 0:
            segment = self.fatal_segments[
                number // 3 % len(self.fatal_segments)
            ]
        sent_s = time.monotonic()
        prefix = f'{COMMON_SEGMENT}:400,{segment}:300,ee{number:04x}:200'
        changes = {'Prompt-Prefix': prefix}
        status, text = 0, ''
        try:
            status, text, _ = await request_stream(
                self.http,
                node,
                f'p{number}',
                self.path,
                **changes,
            )
        except aiohttp.ClientError as error:
            text = repr(error)
        self.sent.append(
            SentPrompt(segment=segment, sent_s=sent_s, status=status, text=text)
        )


def arrivals_of(fleet: Fleet, segment: str, after_s: float = 0) -> int:
    """Count the prompts with ``segment`` that reached engines."""
    return sum(
        segment in arrived.segments and arrived.moment_s > after_s
        for engine in fleet.engines
        for arrived in engine.arrived_prompts
    )


def bound_start_s(fleet: Fleet, contact_s: float) -> float:
    """Return from when on at most three crashing prompts may reach engines.

    That is ``contact_s`` after the fifth end of an engine, infinity if fewer
    have ended.
    """
    if len(fleet.end_moments_s) < 5:
        return float('inf')
    return fleet.end_moments_s[4] + contact_s
