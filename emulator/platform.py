"""Stand in for the platform: log service and list of VMs.

Faults are set with ``POST /faults``: ``down`` refuses all calls,
``slow_ms`` delays them, ``lose_answers`` drops the answers of the next
appends after they took effect, ``late_ms`` lets the next ``late_appends``
fail and take effect later, ``vm_lag_ms`` delays changes of the list.
"""

import argparse
import asyncio
import time
from typing import Any

import attrs
from aiohttp import web

from emulator._stand_in import MAX_BODY_BYTES, read_fields, run_stand_in

_UNAVAILABLE_STATUS = 503
_RATE_STATUS = 429
_RETENTION_S = 604_800
_APPENDS_PER_S = 400


@attrs.define(kw_only=True)
class Record:
    """Hold one record of a stream."""

    offset: int
    time_ms: int
    payload: str


@attrs.define(kw_only=True)
class Stream:
    """Hold the records of a stream that are still kept."""

    records: list[Record] = attrs.field(factory=list)
    first: int = 0
    appended: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def end(self) -> int:
        """Return the offset of the next append."""
        return self.first + len(self.records)


@attrs.define(kw_only=True)
class Faults:
    """Hold the fault switches."""

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    late_appends: int = 0
    late_ms: int = 0
    vm_lag_ms: int = 0
    vms_down: bool = False


class Platform:
    """Serve the log and the list of VMs."""

    def __init__(self, *, retention_s: float, appends_per_s: float) -> None:
        """Keep records for ``retention_s``; refuse faster appends."""
        self.retention_ms = retention_s * 1000
        self.appends_per_s = appends_per_s
        self.allowance = appends_per_s
        self.last_refill_s = time.monotonic()
        self.streams: dict[str, Stream] = {}
        self.faults = Faults()
        self.vms: list[dict[str, str]] = []
        self.shown_vms: list[dict[str, str]] = []
        self.appends = 0
        self.reads = 0

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        router = application.router
        router.add_post('/v1/streams/{stream}/records', self.append)
        router.add_get('/v1/streams/{stream}/records', self.read)
        router.add_get('/v1/vms', self.list_vms)
        router.add_put('/v1/vms', self.put_vms)
        router.add_post('/faults', self.put_faults)
        router.add_post('/expire', self.expire)
        router.add_get('/counts', self.get_counts)
        return application

    async def append(self, request: web.Request) -> web.Response:
        """Append one record."""
        payload = (await request.read()).decode()
        name = request.match_info['stream']
        await asyncio.sleep(self.faults.slow_ms / 1000)
        if self.faults.down:
            return web.Response(status=_UNAVAILABLE_STATUS)
        if not self._take_allowance():
            return web.Response(status=_RATE_STATUS)
        if self.faults.late_appends > 0:
            self.faults.late_appends -= 1
            asyncio.get_running_loop().call_later(
                self.faults.late_ms / 1000,
                self._append,
                name,
                payload,
            )
            return web.Response(status=_UNAVAILABLE_STATUS)
        record = self._append(name, payload)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.transport.abort()
            return web.Response(status=_UNAVAILABLE_STATUS)
        return web.json_response(
            {
                'offset': record.offset,
                'time_ms': record.time_ms,
            }
        )

    async def read(self, request: web.Request) -> web.Response:
        """Return records from an offset, waiting for one if asked."""
        stream = self._stream(request.match_info['stream'])
        start = int(request.query['from'])
        wait_s = int(request.query.get('wait_ms', '0')) / 1000
        limit = int(request.query.get('limit', '500'))
        self.reads += 1
        await asyncio.sleep(self.faults.slow_ms / 1000)
        if wait_s and start >= stream.end and not self.faults.down:
            await self._wait_for_append(stream, wait_s)
        if self.faults.down:
            return web.Response(status=_UNAVAILABLE_STATUS)
        self._drop_expired(stream)
        skip = max(0, start - stream.first)
        return web.json_response(
            {
                'first': stream.first,
                'end': stream.end,
                'records': [
                    attrs.asdict(record)
                    for record in stream.records[skip : skip + limit]
                ],
            }
        )

    async def list_vms(self, request: web.Request) -> web.Response:
        """Return the list as it was ``vm_lag_ms`` ago."""
        if self.faults.vms_down or self.faults.down:
            return web.Response(status=_UNAVAILABLE_STATUS)
        return web.json_response(self.shown_vms)

    async def put_vms(self, request: web.Request) -> web.Response:
        """Replace the list; readers see it after the lag."""
        self.vms = await request.json()
        asyncio.get_running_loop().call_later(
            self.faults.vm_lag_ms / 1000,
            self._show,
            self.vms,
        )
        return web.json_response({})

    async def put_faults(self, request: web.Request) -> web.Response:
        """Set fault switches."""
        fields = await read_fields(request)
        self.faults = attrs.evolve(self.faults, **fields)
        for stream in self.streams.values():
            self._wake(stream)
        return web.json_response(attrs.asdict(self.faults))

    async def expire(self, request: web.Request) -> web.Response:
        """Drop the oldest records of a stream as retention would."""
        fields = await read_fields(request)
        stream = self._stream(fields['stream'])
        self._drop_first(stream, int(fields['records']))
        return web.json_response({'first': stream.first})

    async def get_counts(self, request: web.Request) -> web.Response:
        """Return how many appends and reads were served."""
        return web.json_response(
            {
                'appends': self.appends,
                'reads': self.reads,
            }
        )

    def _show(self, vms: list[dict[str, str]]) -> None:
        self.shown_vms = vms

    def _stream(self, name: str) -> Stream:
        return self.streams.setdefault(name, Stream())

    def _append(self, name: str, payload: str) -> Record:
        stream = self._stream(name)
        record = Record(
            offset=stream.end,
            time_ms=int(time.time() * 1000),
            payload=payload,
        )
        stream.records.append(record)
        self.appends += 1
        self._wake(stream)
        return record

    def _wake(self, stream: Stream) -> None:
        appended = stream.appended
        stream.appended = asyncio.Event()
        appended.set()

    async def _wait_for_append(self, stream: Stream, wait_s: float) -> None:
        try:
            await asyncio.wait_for(stream.appended.wait(), wait_s)
        except asyncio.TimeoutError:
            return

    def _drop_expired(self, stream: Stream) -> None:
        oldest_ms = time.time() * 1000 - self.retention_ms
        expired = 0
        for record in stream.records:
            if record.time_ms >= oldest_ms:
                break
            expired += 1
        self._drop_first(stream, expired)

    def _drop_first(self, stream: Stream, count: int) -> None:
        dropped = min(count, len(stream.records))
        stream.records = stream.records[dropped:]
        stream.first += dropped

    def _take_allowance(self) -> bool:
        now_s = time.monotonic()
        refill = (now_s - self.last_refill_s) * self.appends_per_s
        self.allowance = min(self.appends_per_s, self.allowance + refill)
        self.last_refill_s = now_s
        if self.allowance < 1:
            return False
        self.allowance -= 1
        return True


def _add_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('--retention-s', type=float, default=_RETENTION_S)
    parser.add_argument('--appends-per-s', type=float, default=_APPENDS_PER_S)


def _build(options: Any) -> web.Application:
    return Platform(
        retention_s=options.retention_s,
        appends_per_s=options.appends_per_s,
    ).application()


if __name__ == '__main__':
    run_stand_in(name='platform', add_options=_add_options, build=_build)
