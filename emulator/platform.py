"""Emulate the platform's log service and its list of VMs.

``POST /faults`` sets the faults to inject:

- ``down`` rejects log calls and reads of the VM list with 503;
- ``slow_ms`` delays log calls;
- ``lose_answers`` aborts the connection of that many appends after they took
  effect;
- ``late_appends`` makes that many appends respond 503 and take effect after
  ``late_ms``;
- ``vm_lag_ms`` delays changes of the VM list;
- ``vms_down`` rejects reads of the VM list with 503.
"""

import argparse
import asyncio
import time
from typing import Any

import attrs
from aiohttp import web

from emulator._server_main import MAX_BODY_BYTES, read_json_object, run_server

_UNAVAILABLE_STATUS = 503
_TOO_MANY_REQUESTS_STATUS = 429
_DEFAULT_RETENTION_S = 604_800
_DEFAULT_APPENDS_PER_S = 400


@attrs.define(kw_only=True)
class Record:
    """Store one record of a stream."""

    offset: int
    time_ms: int
    payload: str


@attrs.define(kw_only=True)
class Stream:
    """Store the retained records of a stream, from ``first_offset`` on."""

    records: list[Record] = attrs.field(factory=list)
    first_offset: int = 0
    record_appended: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def next_offset(self) -> int:
        """Return the offset that the next append will get."""
        return self.first_offset + len(self.records)


@attrs.define(kw_only=True)
class Faults:
    """List the faults to inject; the module docstring explains each."""

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    late_appends: int = 0
    late_ms: int = 0
    vm_lag_ms: int = 0
    vms_down: bool = False


class Platform:
    """Serve the log streams and the VM list."""

    def __init__(self, *, retention_s: float, appends_per_s: float) -> None:
        """Retain records for ``retention_s`` and limit the rate of appends."""
        self.retention_ms = retention_s * 1000
        self.appends_per_s = appends_per_s
        self.append_tokens = appends_per_s
        self.last_refill_s = time.monotonic()
        self.streams: dict[str, Stream] = {}
        self.faults = Faults()
        self.vms: list[dict[str, str]] = []
        self.published_vms: list[dict[str, str]] = []
        self.append_count = 0
        self.read_count = 0

    def application(self) -> web.Application:
        """Build the HTTP application."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        router = application.router
        router.add_post('/v1/streams/{stream}/records', self.append)
        router.add_get('/v1/streams/{stream}/records', self.read)
        router.add_get('/v1/vms', self.list_vms)
        router.add_put('/v1/vms', self.put_vms)
        router.add_post('/faults', self.update_faults)
        router.add_post('/expire', self.expire)
        router.add_get('/counts', self.get_counts)
        return application

    async def append(self, request: web.Request) -> web.Response:
        """Append one record.

        Responds 429 above the rate limit and 503 for an injected failure.
        """
        payload = (await request.read()).decode()
        name = request.match_info['stream']
        await asyncio.sleep(self.faults.slow_ms / 1000)
        if self.faults.down:
            return web.Response(status=_UNAVAILABLE_STATUS)
        if not self._take_rate_token():
            return web.Response(status=_TOO_MANY_REQUESTS_STATUS)
        if self.faults.late_appends > 0:
            self.faults.late_appends -= 1
            asyncio.get_running_loop().call_later(
                self.faults.late_ms / 1000,
                self._append_record,
                name,
                payload,
            )
            return web.Response(status=_UNAVAILABLE_STATUS)
        record = self._append_record(name, payload)
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
        """Return records from an offset.

        Waits up to ``wait_ms`` for a record at that offset.
        """
        stream = self._stream(request.match_info['stream'])
        start = int(request.query['from'])
        wait_s = int(request.query.get('wait_ms', '0')) / 1000
        limit = int(request.query.get('limit', '500'))
        self.read_count += 1
        await asyncio.sleep(self.faults.slow_ms / 1000)
        if wait_s and start >= stream.next_offset and not self.faults.down:
            await self._wait_for_append(stream, wait_s)
        if self.faults.down:
            return web.Response(status=_UNAVAILABLE_STATUS)
        self._drop_expired(stream)
        skip = max(0, start - stream.first_offset)
        return web.json_response(
            {
                'first': stream.first_offset,
                'end': stream.next_offset,
                'records': [
                    attrs.asdict(record)
                    for record in stream.records[skip : skip + limit]
                ],
            }
        )

    async def list_vms(self, request: web.Request) -> web.Response:
        """Return the VM list, without changes younger than ``vm_lag_ms``."""
        if self.faults.vms_down or self.faults.down:
            return web.Response(status=_UNAVAILABLE_STATUS)
        return web.json_response(self.published_vms)

    async def put_vms(self, request: web.Request) -> web.Response:
        """Replace the VM list; readers see it after ``vm_lag_ms``."""
        self.vms = await request.json()
        asyncio.get_running_loop().call_later(
            self.faults.vm_lag_ms / 1000,
            self._publish_vms,
            self.vms,
        )
        return web.json_response({})

    async def update_faults(self, request: web.Request) -> web.Response:
        """Update the faults to inject."""
        fields = await read_json_object(request)
        self.faults = attrs.evolve(self.faults, **fields)
        for stream in self.streams.values():
            self._wake_readers(stream)
        return web.json_response(attrs.asdict(self.faults))

    async def expire(self, request: web.Request) -> web.Response:
        """Drop the oldest records of a stream, as retention does."""
        fields = await read_json_object(request)
        stream = self._stream(fields['stream'])
        self._drop_oldest(stream, int(fields['records']))
        return web.json_response({'first': stream.first_offset})

    async def get_counts(self, request: web.Request) -> web.Response:
        """Return the number of appends and reads."""
        return web.json_response(
            {
                'appends': self.append_count,
                'reads': self.read_count,
            }
        )

    def _publish_vms(self, vms: list[dict[str, str]]) -> None:
        self.published_vms = vms

    def _stream(self, name: str) -> Stream:
        return self.streams.setdefault(name, Stream())

    def _append_record(self, name: str, payload: str) -> Record:
        stream = self._stream(name)
        record = Record(
            offset=stream.next_offset,
            time_ms=int(time.time() * 1000),
            payload=payload,
        )
        stream.records.append(record)
        self.append_count += 1
        self._wake_readers(stream)
        return record

    def _wake_readers(self, stream: Stream) -> None:
        appended = stream.record_appended
        stream.record_appended = asyncio.Event()
        appended.set()

    async def _wait_for_append(self, stream: Stream, wait_s: float) -> None:
        try:
            await asyncio.wait_for(stream.record_appended.wait(), wait_s)
        except asyncio.TimeoutError:
            return

    def _drop_expired(self, stream: Stream) -> None:
        oldest_ms = time.time() * 1000 - self.retention_ms
        expired = 0
        for record in stream.records:
            if record.time_ms >= oldest_ms:
                break
            expired += 1
        self._drop_oldest(stream, expired)

    def _drop_oldest(self, stream: Stream, count: int) -> None:
        dropped = min(count, len(stream.records))
        stream.records = stream.records[dropped:]
        stream.first_offset += dropped

    def _take_rate_token(self) -> bool:
        now_s = time.monotonic()
        refill = (now_s - self.last_refill_s) * self.appends_per_s
        self.append_tokens = min(
            self.appends_per_s, self.append_tokens + refill
        )
        self.last_refill_s = now_s
        if self.append_tokens < 1:
            return False
        self.append_tokens -= 1
        return True


def _add_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--retention-s', type=float, default=_DEFAULT_RETENTION_S
    )
    parser.add_argument(
        '--appends-per-s', type=float, default=_DEFAULT_APPENDS_PER_S
    )


def _build(options: Any) -> web.Application:
    return Platform(
        retention_s=options.retention_s,
        appends_per_s=options.appends_per_s,
    ).application()


if __name__ == '__main__':
    run_server(
        name='platform', add_options=_add_options, build_application=_build
    )
