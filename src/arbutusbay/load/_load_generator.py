"""Send requests on schedule as an open-loop load generator.

A slow response doesn't delay later requests, and latencies count from the
due time, so that delays in sending are measured too.
"""

import asyncio
import sys
import time
from collections.abc import Sequence
from typing import Any

import aiohttp
import attrs
import orjson
from result import Err, Ok

from arbutusbay.http import new_client_session
from arbutusbay.load._arrivals import Arrival
from arbutusbay.load._workload import ServiceCallKind
from arbutusbay.responses import fetch_message, read_body

_REQUEST_TIMEOUT_S = 120
_OK_STATUS = 200
_MAX_BODY_BYTES = 8_388_608
_PROGRESS_INTERVAL_S = 1.0
_EVENT_PREFIX = b'data: '
_STREAM_END = b'[DONE]'


@attrs.define(kw_only=True)
class RequestOutcome:
    """Hold the result of one request.

    ``first_response_s`` and ``end_s`` are the seconds from the due time to the
    first event and to the end of the stream; for service calls, both are the
    time to the whole response. They are ``None`` if that was not reached.
    ``complete`` is whether the stream reached its end marker without an error
    event or the service call returned status 200. ``error`` is the code of an
    error event or what ended the request early.
    """

    arrival: Arrival
    status: int = 0
    complete: bool = False
    first_response_s: float | None = None
    end_s: float | None = None
    pieces: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    error: str = ''


class LoadGenerator:
    """Send scheduled requests to several routers in turn."""

    def __init__(self, *, routers: Sequence[str]) -> None:
        """Send to the base URLs ``routers`` by round robin."""
        self.routers = list(routers)
        self.outcomes: list[RequestOutcome] = []
        self.started_s = 0.0

    async def send_all(
        self, arrivals: Sequence[Arrival]
    ) -> list[RequestOutcome]:
        """Send all arrivals and return their outcomes in order of completion.

        Each request is limited to 120 seconds.
        """
        async with new_client_session() as session:
            self.started_s = time.monotonic()
            tasks = []
            progress = asyncio.create_task(self._print_progress(len(arrivals)))
            for arrival in arrivals:
                delay_s = self.started_s + arrival.due_s - time.monotonic()
                await asyncio.sleep(max(0, delay_s))
                tasks.append(asyncio.create_task(self._send(session, arrival)))
            await asyncio.gather(*tasks)
            progress.cancel()
        return self.outcomes

    async def _send(
        self,
        session: aiohttp.ClientSession,
        arrival: Arrival,
    ) -> None:
        outcome = RequestOutcome(arrival=arrival)
        try:
            await self._send_request(session, outcome)
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            outcome.error = type(error).__name__
        self.outcomes.append(outcome)

    async def _send_request(
        self,
        session: aiohttp.ClientSession,
        outcome: RequestOutcome,
    ) -> None:
        arrival = outcome.arrival
        router = self.routers[arrival.number % len(self.routers)]
        headers = {'Authorization': f'Bearer {arrival.team.key}'}
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S)
        if isinstance(arrival.kind, ServiceCallKind):
            if arrival.kind.keyed:
                key = f'{self.started_s}-{arrival.number}'
                headers['Idempotency-Key'] = key
            call = session.request(
                arrival.kind.method,
                f'{router}{arrival.kind.path}',
                headers=headers,
                timeout=timeout,
            )
            match await fetch_message(call, _MAX_BODY_BYTES):
                case Err(missing):
                    outcome.error = missing.detail
                case Ok(response):
                    self._record_response(outcome, response.status)
            return
        async with session.post(
            f'{router}/v1/chat/completions',
            data=orjson.dumps(_build_completion_body(arrival)),
            headers=headers,
            timeout=timeout,
        ) as response:
            outcome.status = response.status
            await self._read_stream(outcome, response)

    async def _read_stream(
        self,
        outcome: RequestOutcome,
        response: aiohttp.ClientResponse,
    ) -> None:
        if response.status != _OK_STATUS:
            await read_body(response, _MAX_BODY_BYTES)
            return
        async for line in response.content:
            event = line.removeprefix(_EVENT_PREFIX).strip()
            if event == _STREAM_END:
                self._record_stream_end(outcome)
            elif event:
                self._record_event(outcome, orjson.loads(event))

    def _record_event(self, outcome: RequestOutcome, event: Any) -> None:
        error = event.get('error')
        if error is not None:
            outcome.error = error['code']
            return
        if outcome.first_response_s is None:
            outcome.first_response_s = self._elapsed_since_due_s(outcome)
        outcome.pieces += 1
        usage = event.get('usage')
        if usage is not None:
            details = usage['prompt_tokens_details']
            outcome.prompt_tokens = usage['prompt_tokens']
            outcome.cached_tokens = details['cached_tokens']

    def _record_stream_end(self, outcome: RequestOutcome) -> None:
        if outcome.error:
            return
        outcome.complete = True
        outcome.end_s = self._elapsed_since_due_s(outcome)

    def _record_response(self, outcome: RequestOutcome, status: int) -> None:
        outcome.status = status
        outcome.complete = status == _OK_STATUS
        outcome.first_response_s = self._elapsed_since_due_s(outcome)
        outcome.end_s = outcome.first_response_s

    def _elapsed_since_due_s(self, outcome: RequestOutcome) -> float:
        return time.monotonic() - self.started_s - outcome.arrival.due_s

    async def _print_progress(self, total: int) -> None:
        while sys.stderr.isatty():
            answered = len(self.outcomes)
            sys.stderr.write(f'\r{answered} of {total} answered')
            await asyncio.sleep(_PROGRESS_INTERVAL_S)


def _build_completion_body(arrival: Arrival) -> dict[str, Any]:
    messages = [
        {'role': 'system', 'content': level} for level in arrival.prefix_texts
    ]
    messages.append({'role': 'user', 'content': arrival.question})
    return {
        'model': arrival.kind.model,
        'stream': True,
        'max_tokens': arrival.kind.max_tokens,
        'messages': messages,
    }
