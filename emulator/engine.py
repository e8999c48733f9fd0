"""Emulate a model engine with batching, a prefix cache and fault injection.

``POST /faults`` sets the faults to inject:

- ``slow_factor`` multiplies the duration of every batch step;
- ``stalled`` stops the batch;
- ``holds_ends`` holds back the last piece of every stream;
- ``cut_after`` aborts the connection of the next ``cuts`` streams after that
  many pieces;
- ``crossed`` replaces the text of that many pieces and marks all further
  lines of the stream with the ID of another attempt;
- ``reorder`` swaps that many pieces with their successors;
- ``duplicate`` sends that many pieces twice;
- ``leaving`` reports in the load report that the engine is shutting down;
- ``fatal_text`` ends the process when it begins to respond to a prompt with it;
- ``refusals`` refuses that many generations with status ``refusal_status``;
  with 409, they name another incarnation;
- ``holds_load`` reports the load of before, whatever it is by now;
- ``copies_refusals`` writes each refusal once more before the next response on
  its connection;
- ``silent_ms`` sends nothing for that long on any connection, then goes on.
"""

import argparse
import asyncio
import collections
import os
import random
import time
import uuid
from types import MappingProxyType
from typing import Any

import attrs
import orjson
import xxhash
from aiohttp import web

from arbutusbay.backend import CacheNamespace, compute_block_hashes
from emulator._batch import Batch, BatchOptions, EngineSequence
from emulator._engine_connections import CopiedId, EngineConnections
from emulator._prefix_cache import PrefixCache, cache_event_to_json
from emulator._server_main import MAX_BODY_BYTES, read_json_object, run_server
from emulator._silence import Silence

_BYTES_PER_TOKEN = 4
_CONFLICT_STATUS = 409
_UNAVAILABLE_STATUS = 503
_PRECONDITION_FAILED_STATUS = 412
_EVENT_POLL_S = 0.02
_VOCABULARY_SIZE = 997
_MAX_RECORDED_RUNS = 1000


@attrs.define(kw_only=True)
class Faults:
    """List the faults to inject; the module docstring explains each."""

    slow_factor: float = 1.0
    stalled: bool = False
    holds_ends: bool = False
    cut_after: int = -1
    cuts: int = 0
    crossed: int = 0
    reorder: int = 0
    duplicate: int = 0
    leaving: bool = False
    fatal_text: str = ''
    refusals: int = 0
    refusal_status: int = 503
    holds_load: bool = False
    copies_refusals: bool = False
    silent_ms: int = 0


@attrs.define(kw_only=True)
class EngineRun:
    """Record which prompt an engine worked on, and from when to when.

    The times are in seconds on the monotonic clock, which all processes of a
    machine share. ``ended_s`` is None while the run goes on.
    """

    prompt: str
    began_s: float
    ended_s: float | None = None

    def end(self) -> None:
        """Record that the run has ended now."""
        self.ended_s = time.monotonic()


@attrs.frozen(kw_only=True)
class EngineOptions:
    """Configure one engine.

    ``load_s`` is the time to load weights, ``load_lag_s`` the interval of
    load reports and ``event_lag_s`` the delay of cache events, in seconds.
    ``event_loss`` is the fraction of cache events that are lost and ``slots``
    the number of streams that run at once.
    """

    model: str
    weights_version: str
    capacity_blocks: int
    block_bytes: int
    load_s: float
    load_lag_s: float
    event_lag_s: float
    event_loss: float
    checks_fencing: bool
    seed: int
    slots: int


def expected_piece(prompt: str, weights_version: str, index: int) -> str:
    """Return the piece ``index`` that a fault-free engine generates."""
    digest = xxhash.xxh64_intdigest(
        (prompt + weights_version).encode(),
        seed=index,
    )
    return f'w{digest % _VOCABULARY_SIZE} '


class Engine:
    """Serve generation, cache events, load orders and fault injection."""

    def __init__(self, *, options: EngineOptions) -> None:
        """Start with an empty cache and a new incarnation ID."""
        self.options = options
        self.incarnation = uuid.uuid4().hex
        self.weights_version = options.weights_version
        self.ready = True
        self.highest_fencing_token = -1
        self.orders: list[dict[str, Any]] = []
        self.faults = Faults()
        self.connections = EngineConnections()
        self.cache = PrefixCache(
            capacity_blocks=options.capacity_blocks,
            event_lag_s=options.event_lag_s,
            event_loss_ratio=options.event_loss,
            rng=random.Random(options.seed),
        )
        self.batch = Batch(
            options=BatchOptions(slots=options.slots), cache=self.cache
        )
        self.last_report: dict[str, Any] | None = None
        self.last_report_at_s = 0.0
        self.served_count = 0
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.stream_tasks: set[asyncio.Task[Any]] = set()
        self.silence = Silence()
        self.runs: collections.deque[EngineRun] = collections.deque(
            maxlen=_MAX_RECORDED_RUNS
        )

    def application(self) -> web.Application:
        """Build the HTTP application."""
        application = web.Application(
            client_max_size=MAX_BODY_BYTES,
            middlewares=[self.connections.write_copies],
        )
        router = application.router
        router.add_post('/v1/generate', self.generate)
        router.add_get('/v1/events', self.get_events)
        router.add_post('/v1/orders', self.order_load)
        router.add_post('/faults', self.update_faults)
        router.add_get('/counts', self.get_counts)
        router.add_get('/runs', self.list_runs)
        application.on_startup.append(self._start)
        return application

    async def generate(self, request: web.Request) -> web.StreamResponse:
        """Stream a completion as JSON lines, or reject the request.

        Responds 409 when the incarnation or weights version differs from the
        expected one, and 503 while weights are loading.
        """
        fields = orjson.loads(await request.read())
        rejection = self._rejection(fields)
        if rejection is not None:
            return rejection
        sequence = self._sequence_from_fields(fields)
        response = web.StreamResponse()
        response.content_type = 'application/x-ndjson'
        self.served_count += 1
        self.batch.submit(sequence)
        run = EngineRun(prompt=fields['prompt'], began_s=time.monotonic())
        self.runs.append(run)
        task = asyncio.current_task()
        self.stream_tasks.add(task)
        try:
            await self.silence.over.wait()
            await response.prepare(request)
            await self._write_stream(request, response, fields, sequence)
        finally:
            self.stream_tasks.discard(task)
            self._end_run(run, sequence)
        return response

    async def get_events(self, request: web.Request) -> web.Response:
        """Return cache events and the last load report.

        Waits up to ``wait_ms`` for a new event or report. Both lag behind the
        state of the engine, as configured.
        """
        after = int(request.query['after'])
        same_incarnation = request.query['incarnation'] == self.incarnation
        after = after if same_incarnation else 0
        deadline_s = time.monotonic() + int(request.query['wait_ms']) / 1000
        events, gap = self.cache.visible_events_after(after)
        report_s = self.last_report_at_s
        while not events and time.monotonic() < deadline_s:
            await asyncio.sleep(_EVENT_POLL_S)
            events, gap = self.cache.visible_events_after(after)
            if self.last_report_at_s > report_s:
                break
        sequence = events[-1].sequence if events else after
        await self.silence.over.wait()
        return web.Response(
            content_type='application/json',
            body=orjson.dumps(
                {
                    'incarnation': self.incarnation,
                    'weights_version': self.weights_version,
                    'next': sequence,
                    'gap': gap and same_incarnation,
                    'events': [cache_event_to_json(event) for event in events],
                    'load': self.last_report,
                }
            ),
        )

    async def order_load(self, request: web.Request) -> web.Response:
        """Start to load weights.

        Responds 412 when the engine checks fencing tokens and the order has
        a lower one than an earlier order.
        """
        order = await read_json_object(request)
        is_stale = order['fence'] < self.highest_fencing_token
        self.orders.append({**order, 'old': is_stale})
        if self.options.checks_fencing and is_stale:
            return web.Response(status=_PRECONDITION_FAILED_STATUS)
        self.highest_fencing_token = max(
            self.highest_fencing_token, order['fence']
        )
        asyncio.get_running_loop().create_task(
            self._load_weights(order['weights_version']),
        )
        await self.silence.over.wait()
        return web.json_response({})

    async def update_faults(self, request: web.Request) -> web.Response:
        """Update the faults to inject."""
        fields = await read_json_object(request)
        self.faults = attrs.evolve(self.faults, **fields)
        self.batch.slow_factor = self.faults.slow_factor
        self.batch.stalled = self.faults.stalled
        self.batch.holds_ends = self.faults.holds_ends
        self.connections.copied_id = (
            CopiedId.NONE if self.faults.copies_refusals else None
        )
        self.batch.work_available.set()
        if 'silent_ms' in fields:
            self.silence.begin(self.faults.silent_ms / 1000)
        return web.json_response(attrs.asdict(self.faults))

    async def get_counts(self, request: web.Request) -> web.Response:
        """Return counters and the orders received."""
        return web.json_response(
            {
                'incarnation': self.incarnation,
                'weights_version': self.weights_version,
                'served': self.served_count,
                'prompt_tokens': self.prompt_tokens,
                'cached_tokens': self.cached_tokens,
                'computed_tokens': self.batch.computed_tokens,
                'running': len(self.batch.running),
                'stored_blocks': len(self.cache.blocks),
                'orders': self.orders,
                'connections': list(self.connections.paths_by_caller.values()),
            }
        )

    async def list_runs(self, request: web.Request) -> web.Response:
        """Return the latest runs, oldest first."""
        return web.json_response([attrs.asdict(run) for run in self.runs])

    def _end_run(self, run: EngineRun, sequence: EngineSequence) -> None:
        run.end()
        self.batch.remove(sequence)

    async def _start(self, application: web.Application) -> None:
        loop = asyncio.get_running_loop()
        self.last_report = self._build_load_report()
        application['batch'] = loop.create_task(self.batch.run())
        application['report'] = loop.create_task(self._publish_load_reports())

    async def _publish_load_reports(self) -> None:
        while True:
            self.last_report = self._build_load_report()
            self.last_report_at_s = time.monotonic()
            await asyncio.sleep(self.options.load_lag_s)

    def _build_load_report(self) -> dict[str, Any] | None:
        if self.faults.holds_load:
            return self.last_report
        return {
            'running': len(self.batch.running),
            'waiting': len(self.batch.waiting),
            'queued_tokens': self.batch.queued_tokens(),
            'slots': self.batch.options.slots,
            'ready': self.ready,
            'leaving': self.faults.leaving,
        }

    def _rejection(self, fields: dict[str, Any]) -> web.Response | None:
        expected_incarnation = fields['incarnation']
        wrong_incarnation = (
            expected_incarnation and expected_incarnation != self.incarnation
        )
        wrong_version = fields['weights_version'] != self.weights_version
        if wrong_incarnation or wrong_version:
            return web.json_response(
                {
                    'incarnation': self.incarnation,
                    'weights_version': self.weights_version,
                },
                status=_CONFLICT_STATUS,
            )
        if self.faults.refusals:
            self.faults.refusals -= 1
            return _refusal(self.faults.refusal_status, self.weights_version)
        if not self.ready:
            return web.Response(status=_UNAVAILABLE_STATUS)
        return None

    def _sequence_from_fields(self, fields: dict[str, Any]) -> EngineSequence:
        prompt = fields['prompt'].encode()
        namespace = CacheNamespace(
            team=fields['team'],
            model=fields['model'],
            adapter=fields['adapter'],
            weights_version=self.weights_version,
        )
        return EngineSequence(
            priority=fields['priority'],
            arrival_number=0,
            hashes=compute_block_hashes(
                namespace, prompt, self.options.block_bytes
            ),
            prompt_tokens=max(1, len(prompt) // _BYTES_PER_TOKEN),
            block_tokens=self.options.block_bytes // _BYTES_PER_TOKEN,
            max_tokens=fields['max_tokens'],
            next_index=fields['resume_from'],
            output=asyncio.Queue(),
        )

    async def _write_stream(
        self,
        request: web.Request,
        response: web.StreamResponse,
        fields: dict[str, Any],
        sequence: EngineSequence,
    ) -> None:
        writer = StreamWriter(
            response=response,
            attempt=fields['attempt'],
            faults=self.faults,
            silence=self.silence,
        )
        version = self.weights_version
        await writer.write(
            {
                'type': 'identity',
                'incarnation': self.incarnation,
                'weights_version': version,
            }
        )
        started = False
        cut_after = self._take_cut_fault()
        while True:
            index = await sequence.output.get()
            if index is None:
                break
            if not started:
                started = True
                self._count_prompt(sequence)
                await writer.write(
                    {
                        'type': 'start',
                        'cached_tokens': sequence.cached_tokens,
                        'prompt_tokens': sequence.prompt_tokens,
                    }
                )
                if self._is_fatal(fields['prompt']):
                    os._exit(1)
            if cut_after == 0:
                request.transport.abort()
                return
            cut_after -= 1
            text = expected_piece(fields['prompt'], version, index)
            await writer.write_piece(index, text)
        await writer.write(
            {
                'type': 'end',
                'pieces': sequence.next_index,
                'finish_reason': 'length',
            }
        )

    def _is_fatal(self, prompt: str) -> bool:
        fatal_text = self.faults.fatal_text
        return bool(fatal_text) and fatal_text in prompt

    def _count_prompt(self, sequence: EngineSequence) -> None:
        self.prompt_tokens += sequence.prompt_tokens
        self.cached_tokens += sequence.cached_tokens

    def _take_cut_fault(self) -> int:
        if self.faults.cuts <= 0:
            return -1
        self.faults.cuts -= 1
        return self.faults.cut_after

    async def _load_weights(self, version: str) -> None:
        self.ready = False
        self.last_report = self._build_load_report()
        self.last_report_at_s = time.monotonic()
        await asyncio.sleep(self.options.load_s)
        for task in list(self.stream_tasks):
            task.cancel()
        self.weights_version = version
        self.cache.clear()
        self.ready = True


def _refusal(status: int, weights_version: str) -> web.Response:
    if status != _CONFLICT_STATUS:
        return web.Response(status=status)
    identity = {
        'incarnation': uuid.uuid4().hex,
        'weights_version': weights_version,
    }
    return web.json_response(identity, status=status)


class StreamWriter:
    """Write the JSON lines of one stream and inject faults."""

    def __init__(
        self,
        *,
        response: web.StreamResponse,
        attempt: str,
        faults: Faults,
        silence: Silence,
    ) -> None:
        """Mark each line with the attempt ID ``attempt``."""
        self.response = response
        self.attempt = attempt
        self.faults = faults
        self.silence = silence
        self.held_line: bytes | None = None

    async def write(self, fields: dict[str, Any]) -> None:
        """Write ``fields`` as one line."""
        await self._send(self._line(fields))

    async def write_piece(self, index: int, text: str) -> None:
        """Write one piece, with the faults that are due.

        A piece to be reordered is held back until the next one is written.
        """
        if index and self.faults.crossed > 0:
            self.faults.crossed -= 1
            self.attempt = 'another-attempt'
            text = 'alien '
        line = self._line({'type': 'piece', 'index': index, 'text': text})
        if index and self.faults.reorder > 0 and self.held_line is None:
            self.faults.reorder -= 1
            self.held_line = line
            return
        if index and self.faults.duplicate > 0:
            self.faults.duplicate -= 1
            line = line * 2
        await self._send(b''.join((line, self.held_line or b'')))
        self.held_line = None

    async def _send(self, line: bytes) -> None:
        await self.silence.over.wait()
        await self.response.write(line)

    def _line(self, fields: dict[str, Any]) -> bytes:
        return orjson.dumps(
            {'attempt': self.attempt, **fields},
            option=orjson.OPT_APPEND_NEWLINE,
        )


_DEFAULTS = MappingProxyType(
    {
        'model': 'emulated',
        'weights_version': 'v1',
        'capacity_blocks': 4000,
        'block_bytes': 64,
        'load_s': 0.5,
        'load_lag_s': 0.3,
        'event_lag_s': 0.1,
        'event_loss': 0.01,
        'seed': 1,
        'slots': 8,
    }
)


def _add_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('--checks-fencing', action='store_true')
    for name, default in _DEFAULTS.items():
        parser.add_argument(
            f'--{name.replace("_", "-")}',
            type=type(default),
            default=default,
        )


def _build(options: Any) -> web.Application:
    fields = {
        field.name: getattr(options, field.name)
        for field in attrs.fields(EngineOptions)
    }
    return Engine(options=EngineOptions(**fields)).application()


if __name__ == '__main__':
    run_server(
        name='engine', add_options=_add_options, build_application=_build
    )
