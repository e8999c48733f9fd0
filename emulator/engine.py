"""Stand in for a model engine: batching, prefix cache, orders, faults.

Faults are set with ``POST /faults``: ``slow_factor`` stretches every step,
``stalled`` stops the batch, ``cut_after`` closes the next ``cuts`` streams
after so many pieces, ``crossed`` sends another attempt's id and text,
``reorder`` swaps two pieces, ``duplicate`` repeats one, ``leaving`` reports
that the engine leaves.
"""

import argparse
import asyncio
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
from emulator._batch import Batch, Request, Speed
from emulator._prefix_cache import PrefixCache, event_to_json
from emulator._stand_in import MAX_BODY_BYTES, read_fields, run_stand_in

_BYTES_PER_TOKEN = 4
_MISMATCH_STATUS = 409
_NOT_READY_STATUS = 503
_FENCED_STATUS = 412
_POLL_STEP_S = 0.02
_WORDS = 997


@attrs.define(kw_only=True)
class Faults:
    """Hold the fault switches."""

    slow_factor: float = 1.0
    stalled: bool = False
    cut_after: int = -1
    cuts: int = 0
    crossed: int = 0
    reorder: int = 0
    duplicate: int = 0
    leaving: bool = False


@attrs.frozen(kw_only=True)
class EngineOptions:
    """Hold the fixed properties of one engine."""

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


def expected_word(prompt: str, weights_version: str, index: int) -> str:
    """Return the piece of text that an undisturbed engine says."""
    digest = xxhash.xxh64_intdigest(
        (prompt + weights_version).encode(),
        seed=index,
    )
    return f'w{digest % _WORDS} '


class Engine:
    """Serve generation, events, orders and faults."""

    def __init__(self, *, options: EngineOptions) -> None:
        """Start empty, with a new incarnation."""
        self.options = options
        self.incarnation = uuid.uuid4().hex
        self.weights_version = options.weights_version
        self.ready = True
        self.highest_fence = -1
        self.orders: list[dict[str, Any]] = []
        self.faults = Faults()
        self.cache = PrefixCache(
            capacity_blocks=options.capacity_blocks,
            lag_s=options.event_lag_s,
            loss_ratio=options.event_loss,
            rng=random.Random(options.seed),
        )
        self.batch = Batch(speed=Speed(), cache=self.cache)
        self.last_report: dict[str, Any] | None = None
        self.reported_s = 0.0
        self.served = 0
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.streams: set[asyncio.Task[Any]] = set()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(
            client_max_size=MAX_BODY_BYTES,
        )
        router = application.router
        router.add_post('/v1/generate', self.generate)
        router.add_get('/v1/events', self.get_events)
        router.add_post('/v1/orders', self.take_order)
        router.add_post('/faults', self.put_faults)
        router.add_get('/counts', self.get_counts)
        application.on_startup.append(self._start)
        return application

    async def generate(self, request: web.Request) -> web.StreamResponse:
        """Stream one answer as JSON lines."""
        fields = orjson.loads(await request.read())
        refusal = self._refusal(fields)
        if refusal is not None:
            return refusal
        sequence = self._sequence(fields)
        response = web.StreamResponse()
        response.content_type = 'application/x-ndjson'
        await response.prepare(request)
        self.served += 1
        self.batch.submit(sequence)
        task = asyncio.current_task()
        self.streams.add(task)
        try:
            await self._write_stream(request, response, fields, sequence)
        finally:
            self.streams.discard(task)
            self.batch.cancel(sequence)
        return response

    async def get_events(self, request: web.Request) -> web.Response:
        """Return cache events and the load report, both late."""
        after = int(request.query['after'])
        same_life = request.query['incarnation'] == self.incarnation
        after = after if same_life else 0
        deadline_s = time.monotonic() + int(request.query['wait_ms']) / 1000
        events, gap = self.cache.visible_since(after)
        report_s = self.reported_s
        while not events and time.monotonic() < deadline_s:
            await asyncio.sleep(_POLL_STEP_S)
            events, gap = self.cache.visible_since(after)
            if self.reported_s > report_s:
                break
        sequence = events[-1].sequence if events else after
        return web.Response(
            content_type='application/json',
            body=orjson.dumps(
                {
                    'incarnation': self.incarnation,
                    'weights_version': self.weights_version,
                    'next': sequence,
                    'gap': gap and same_life,
                    'events': [event_to_json(event) for event in events],
                    'load': self.last_report,
                }
            ),
        )

    async def take_order(self, request: web.Request) -> web.Response:
        """Load weights, unless the fencing number is old and checked."""
        order = await read_fields(request)
        is_old = order['fence'] < self.highest_fence
        self.orders.append({**order, 'old': is_old})
        if self.options.checks_fencing and is_old:
            return web.Response(status=_FENCED_STATUS)
        self.highest_fence = max(self.highest_fence, order['fence'])
        asyncio.get_running_loop().create_task(
            self._load_weights(order['weights_version']),
        )
        return web.json_response({})

    async def put_faults(self, request: web.Request) -> web.Response:
        """Set fault switches."""
        fields = await read_fields(request)
        self.faults = attrs.evolve(self.faults, **fields)
        self.batch.slow_factor = self.faults.slow_factor
        self.batch.stalled = self.faults.stalled
        self.batch.work.set()
        return web.json_response(attrs.asdict(self.faults))

    async def get_counts(self, request: web.Request) -> web.Response:
        """Return what the engine has done."""
        return web.json_response(
            {
                'incarnation': self.incarnation,
                'weights_version': self.weights_version,
                'served': self.served,
                'prompt_tokens': self.prompt_tokens,
                'cached_tokens': self.cached_tokens,
                'computed_tokens': self.batch.computed_tokens,
                'running': len(self.batch.running),
                'stored_blocks': len(self.cache.blocks),
                'orders': self.orders,
            }
        )

    async def _start(self, application: web.Application) -> None:
        loop = asyncio.get_running_loop()
        self.last_report = self._load_report()
        application['batch'] = loop.create_task(self.batch.run())
        application['report'] = loop.create_task(self._report())

    async def _report(self) -> None:
        while True:
            self.last_report = self._load_report()
            self.reported_s = time.monotonic()
            await asyncio.sleep(self.options.load_lag_s)

    def _load_report(self) -> dict[str, Any]:
        return {
            'running': len(self.batch.running),
            'waiting': len(self.batch.waiting),
            'queued_tokens': self.batch.queued_tokens(),
            'slots': self.batch.speed.slots,
            'ready': self.ready,
            'leaving': self.faults.leaving,
        }

    def _refusal(self, fields: dict[str, Any]) -> web.Response | None:
        relied_on = fields['incarnation']
        wrong_life = relied_on and relied_on != self.incarnation
        wrong_version = fields['weights_version'] != self.weights_version
        if wrong_life or wrong_version:
            return web.json_response(
                {
                    'incarnation': self.incarnation,
                    'weights_version': self.weights_version,
                },
                status=_MISMATCH_STATUS,
            )
        if not self.ready:
            return web.Response(status=_NOT_READY_STATUS)
        return None

    def _sequence(self, fields: dict[str, Any]) -> Request:
        prompt = fields['prompt'].encode()
        identity = CacheNamespace(
            team=fields['team'],
            model=fields['model'],
            adapter=fields['adapter'],
            weights_version=self.weights_version,
        )
        return Request(
            priority=fields['priority'],
            arrival=0,
            hashes=compute_block_hashes(
                identity, prompt, self.options.block_bytes
            ),
            prompt_tokens=max(1, len(prompt) // _BYTES_PER_TOKEN),
            block_tokens=self.options.block_bytes // _BYTES_PER_TOKEN,
            max_tokens=fields['max_tokens'],
            emitted=fields['resume_from'],
            output=asyncio.Queue(),
        )

    async def _write_stream(
        self,
        request: web.Request,
        response: web.StreamResponse,
        fields: dict[str, Any],
        sequence: Request,
    ) -> None:
        writer = StreamWriter(
            response=response,
            attempt=fields['attempt'],
            faults=self.faults,
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
        cut_after = self._take_cut()
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
            if cut_after == 0:
                request.transport.abort()
                return
            cut_after -= 1
            text = expected_word(fields['prompt'], version, index)
            await writer.write_piece(index, text)
        await writer.write(
            {
                'type': 'end',
                'pieces': sequence.emitted,
                'finish_reason': 'length',
            }
        )

    def _count_prompt(self, sequence: Request) -> None:
        self.prompt_tokens += sequence.prompt_tokens
        self.cached_tokens += sequence.cached_tokens

    def _take_cut(self) -> int:
        if self.faults.cuts <= 0:
            return -1
        self.faults.cuts -= 1
        return self.faults.cut_after

    async def _load_weights(self, version: str) -> None:
        self.ready = False
        self.last_report = self._load_report()
        self.reported_s = time.monotonic()
        await asyncio.sleep(self.options.load_s)
        for stream in list(self.streams):
            stream.cancel()
        self.weights_version = version
        self.cache.clear()
        self.ready = True


class StreamWriter:
    """Write the lines of one stream, disturbed by the faults."""

    def __init__(
        self,
        *,
        response: web.StreamResponse,
        attempt: str,
        faults: Faults,
    ) -> None:
        """Write to ``response`` as ``attempt``."""
        self.response = response
        self.attempt = attempt
        self.faults = faults
        self.held: bytes | None = None

    async def write(self, fields: dict[str, Any]) -> None:
        """Write one line."""
        await self.response.write(self._line(fields))

    async def write_piece(self, index: int, text: str) -> None:
        """Write one piece, or hold it to swap it with the next."""
        if index and self.faults.crossed > 0:
            self.faults.crossed -= 1
            self.attempt = 'another-attempt'
            text = 'alien '
        line = self._line({'type': 'piece', 'index': index, 'text': text})
        if index and self.faults.reorder > 0 and self.held is None:
            self.faults.reorder -= 1
            self.held = line
            return
        if index and self.faults.duplicate > 0:
            self.faults.duplicate -= 1
            line = line * 2
        await self.response.write(b''.join((line, self.held or b'')))
        self.held = None

    def _line(self, fields: dict[str, Any]) -> bytes:
        return orjson.dumps(
            {'attempt': self.attempt, **fields},
            option=orjson.OPT_APPEND_NEWLINE,
        )


_OPTIONS = MappingProxyType(
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
    }
)


def _add_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('--checks-fencing', action='store_true')
    for name, default in _OPTIONS.items():
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
    run_stand_in(name='engine', add_options=_add_options, build=_build)
