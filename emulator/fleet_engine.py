"""Stand in for the platform's engines and plain services, with faults."""

import asyncio
import enum
import time
from collections import Counter
from http import HTTPStatus

import attrs
from aiohttp import web

from emulator._stand_in import read_fields

_NOT_RUN = 'Not-Executed'


class EngineFault(enum.StrEnum):
    """Say how an engine spoils its next answers."""

    NONE = 'none'
    CUT = 'cut'
    RESET = 'reset'
    FAIL = 'fail'
    SHED = 'shed'
    FOREIGN = 'foreign'
    MUTE = 'mute'


@attrs.frozen(kw_only=True)
class EngineRun:
    """Hold what one request said that the engine ran."""

    attempt_id: str
    path: str
    headers: dict[str, str]
    body: bytes
    version: int


@attrs.define(kw_only=True)
class EngineOptions:
    """Hold the properties of an engine; ``model`` is empty for services."""

    id: str
    service: str
    zone: str
    model: str = ''
    slots: int = 8
    events: int = 5
    event_s: float = 0.01
    load_s: float = 0.3


class FleetEngine:
    """Run requests as the pages describe and remember each run."""

    def __init__(self, options: EngineOptions) -> None:
        """Start with weights version 1."""
        self.options = options
        self.address = ''
        self.born_ms = int(time.time() * 1000)
        self.version = 1
        self.orders = 0
        self.highest_fence = -1
        self.holders: list[tuple[str, int]] = []
        self.is_loading_weights = False
        self.is_draining = False
        self.fault = EngineFault.NONE
        self.faults_left = 0
        self.running = 0
        self.runs: list[EngineRun] = []

    def application(self) -> web.Application:
        """Return the application that answers calls."""
        application = web.Application()
        router = application.router
        router.add_get('/arbutusbay/report', self.report)
        router.add_post('/arbutusbay/order', self.order)
        router.add_route('*', '/{path:.*}', self.run)
        return application

    def registration(self) -> dict[str, object]:
        """Return what the engine writes to the store."""
        return {
            'service': self.options.service,
            'address': self.address,
            'zone': self.options.zone,
            'version': 'v1',
            'slots': self.options.slots,
            'state': 'draining' if self.is_draining else 'ready',
            'cold_remaining_ms': 0,
            'models': self._models(),
            'sequence': 1,
            'born': self.born_ms,
        }

    def run_counts(self) -> Counter[str]:
        """Return how often each attempt ran."""
        return Counter(run.attempt_id for run in self.runs)

    def spoil(self, fault: EngineFault, times: int) -> None:
        """Spoil the next ``times`` answers."""
        self.fault = fault
        self.faults_left = times

    async def report(self, request: web.Request) -> web.Response:
        """Tell weights, load and the number of accepted orders."""
        return web.json_response(
            {
                'stage': 'prefill_and_decode',
                'models': self._models(),
                'busy': self.is_loading_weights,
                'sequence': self.orders,
                'waiting': 0,
                'running': self.running,
                'kv_used': 0,
                'kv_total': 1,
                'handles': 0,
            },
        )

    async def order(self, request: web.Request) -> web.Response:
        """Accept an order to load weights, if its fence is not old."""
        if request.headers.get('Expect-Instance') != self.options.id:
            return web.Response(status=HTTPStatus.MISDIRECTED_REQUEST)
        fields = await read_fields(request)
        fence = fields['fencing_token']
        if fence < self.highest_fence:
            return web.Response(status=HTTPStatus.PRECONDITION_FAILED)
        self.highest_fence = fence
        self.holders.append((fields['holder'], fence))
        if fields['version'] == self.version:
            return web.Response(status=HTTPStatus.OK)
        if (
            self.is_loading_weights
            or fields.get('expect', self.orders) != self.orders
        ):
            return web.Response(status=HTTPStatus.CONFLICT)
        self.orders += 1
        self.is_loading_weights = True
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.options.load_s,
            self._finish_load,
            fields['version'],
        )
        return web.Response(status=HTTPStatus.ACCEPTED)

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Run one request, or say that it has not run."""
        rejection = self._rejection(request)
        if rejection is not None:
            return rejection
        self.runs.append(
            EngineRun(
                attempt_id=request.headers['Attempt-Id'],
                path=request.raw_path,
                headers=dict(request.headers),
                body=await request.read(),
                version=self.version,
            ),
        )
        self.running += 1
        try:
            return await self._answer(request, self._take_fault())
        finally:
            self.running -= 1

    def _rejection(self, request: web.Request) -> web.Response | None:
        expected = request.headers.get('Expect-Version', str(self.version))
        if request.headers.get('Expect-Instance') != self.options.id:
            return web.Response(status=HTTPStatus.MISDIRECTED_REQUEST)
        if expected != str(self.version):
            return web.Response(status=HTTPStatus.MISDIRECTED_REQUEST)
        if self.is_loading_weights or self.fault is EngineFault.SHED:
            return web.Response(
                status=HTTPStatus.SERVICE_UNAVAILABLE, headers={_NOT_RUN: '1'}
            )
        return None

    def _take_fault(self) -> EngineFault:
        if not self.faults_left:
            return EngineFault.NONE
        self.faults_left -= 1
        return self.fault

    async def _answer(
        self,
        request: web.Request,
        fault: EngineFault,
    ) -> web.StreamResponse:
        match fault:
            case EngineFault.RESET:
                request.transport.abort()
                return web.Response()
            case EngineFault.MUTE:
                await asyncio.sleep(60)
            case EngineFault.FAIL:
                headers = self._headers(request, fault)
                return web.Response(
                    status=HTTPStatus.INTERNAL_SERVER_ERROR, headers=headers
                )
        if not self.options.model:
            headers = self._headers(request, fault)
            return web.Response(text=self.options.id, headers=headers)
        return await self._stream(request, fault)

    async def _stream(
        self,
        request: web.Request,
        fault: EngineFault,
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=self._headers(request, fault))
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        start = int(request.headers.get('Last-Event-Id', 0))
        for number in range(start + 1, self.options.events + 1):
            if fault is EngineFault.CUT and number > start + 2:
                await response.write(b'id: ')
                request.transport.abort()
                return response
            await response.write(f'id: {number}\ndata: w{number}\n\n'.encode())
            await asyncio.sleep(self.options.event_s)
        return response

    def _headers(
        self,
        request: web.Request,
        fault: EngineFault,
    ) -> dict[str, str]:
        attempt_id = request.headers['Attempt-Id']
        if fault is EngineFault.FOREIGN:
            attempt_id = 'of-somebody-else'
        return {
            'Attempt-Id': attempt_id,
            'Response-Stamp': f'stamp-{self.options.id}',
            'Server-Load': f'{self.running},0,{self.options.slots},100',
            'Weight-Versions': str(self.version),
        }

    def _models(self) -> list[dict[str, object]]:
        if not self.options.model:
            return []
        return [
            {
                'name': self.options.model,
                'version': self.version,
                'adapters': [],
            },
        ]

    def _finish_load(self, version: int) -> None:
        self.version = version
        self.is_loading_weights = False
