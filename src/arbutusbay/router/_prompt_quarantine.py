"""Keep completions with prompts that crash engines from the engines.

Routers report what they see to the control daemons of all VMs, and poll that of
their own VM what the others saw.
"""

import asyncio

import aiohttp
import attrs
from result import Ok

from arbutusbay.clock import now_s
from arbutusbay.controller import Controller
from arbutusbay.errors import Failure
from arbutusbay.hashing import rank_by_rendezvous_hash
from arbutusbay.http import call_peer
from arbutusbay.policy import Job
from arbutusbay.quarantine import (
    QuarantineReport,
    SegmentKey,
    WithheldRequest,
    build_refusal,
    segment_key,
)
from arbutusbay.quarantine_exchange import build_exchange, read_exchange
from arbutusbay.router._shared_state import RouterState
from arbutusbay.verdict_log import log_verdict_change
from arbutusbay.wire import QuarantineExchange

_MAX_PROMPT_BLOCKS = 32
_CHECK_INTERVAL_S = 0.1
_REPEAT_S = 1.0
_WAIT_S = 4.0
_MS_PER_S = 1000
_CALL_TIMEOUT_S = 0.5
_SOURCE = 'control'


def segment_keys_of(job: Job) -> tuple[SegmentKey, ...]:
    """Return the prefixes of a prompt that others may share, shortest first.

    The longest one is among them, since the same prompt may come again.
    """
    hashes = (*job.hashes[:_MAX_PROMPT_BLOCKS], *job.hashes[-1:])
    prefixes = dict.fromkeys(hashes)
    return tuple(segment_key(job.pool, f'{prefix:x}') for prefix in prefixes)


class PromptQuarantine(Controller):
    """Make verdicts, and send them to the control daemons of all VMs."""

    shared_state: RouterState
    session: aiohttp.ClientSession

    async def prepare(self) -> None:
        """Log each verdict that changes."""
        self.shared_state.quarantine.announce = log_verdict_change
        self.last_report = QuarantineReport()
        self.last_told_s = now_s()

    async def step(self) -> None:
        """Evaluate the evidence, and send what is new."""
        await asyncio.sleep(_CHECK_INTERVAL_S)
        moment_s = now_s()
        quarantine = self.shared_state.quarantine
        quarantine.evaluate(moment_s, {})
        report = quarantine.report(moment_s)
        is_repeated = moment_s - self.last_told_s > _REPEAT_S
        if report == QuarantineReport():
            return
        if report != self.last_report or is_repeated:
            self.last_report = report
            self.last_told_s = moment_s
            await asyncio.gather(
                *(
                    exchange_reports(
                        self.shared_state, self.session, url, report
                    )
                    for url in self.shared_state.control_urls().values()
                )
            )


class QuarantineFollower(Controller):
    """Poll the control daemon of this VM for the reports of other routers."""

    shared_state: RouterState
    session: aiohttp.ClientSession

    async def step(self) -> None:
        """Wait for news, and for a moment if the daemon does not answer."""
        is_answered = await exchange_reports(
            self.shared_state,
            self.session,
            self.shared_state.settings.node.control_url,
            QuarantineReport(),
            wait_s=_WAIT_S,
        )
        await asyncio.sleep(_CHECK_INTERVAL_S if is_answered else _REPEAT_S)


async def exchange_reports(
    shared_state: RouterState,
    session: aiohttp.ClientSession,
    url: str,
    report: QuarantineReport,
    *,
    wait_s: float = 0.0,
) -> bool:
    """Send ``report`` to a control daemon; return whether it answered.

    Its reply, which may take ``wait_s`` seconds, is added to the evidence.
    """
    message = build_exchange(shared_state.settings.node.id, report, now_s())
    reply = await call_peer(
        session,
        f'{url}/peer/quarantine',
        attrs.evolve(message, wait_ms=int(wait_s * _MS_PER_S)),
        QuarantineExchange,
        timeout_s=_CALL_TIMEOUT_S + wait_s,
    )
    if not isinstance(reply, Ok):
        return False
    moment_s = now_s()
    shared_state.quarantine.merge_report(
        f'{_SOURCE}-{reply.ok_value.reporter}',
        read_exchange(reply.ok_value, moment_s),
        moment_s,
    )
    return True


def refuse_job(shared_state: RouterState, job: Job) -> Failure | None:
    """Return a failure if a job must not be sent to an engine."""
    withheld = shared_state.quarantine.withhold(
        WithheldRequest(id=job.id, keys=segment_keys_of(job)),
        now_s=now_s(),
        weights_versions={},
        may_probe=lambda key: _is_owner(shared_state, key),
    )
    return None if withheld is None else build_refusal(withheld)


def _is_owner(shared_state: RouterState, key: SegmentKey) -> bool:
    """Return whether this router tries a quarantined prompt for the fleet."""
    ranked = rank_by_rendezvous_hash(
        str(key), sorted(shared_state.active_nodes())
    )
    return ranked[0] == shared_state.settings.node.id
