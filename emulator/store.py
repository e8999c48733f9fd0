"""Stand in for the platform's store: keyed topics as a log, with faults."""

import asyncio
import base64
import enum
from http import HTTPStatus

import attrs
import orjson
from aiohttp import web

_LENGTH_BYTES = 4
_OFFSET_BYTES = 8
_PREFIX = '/arbutusbay/'
_SILENT_S = 60


class StoreFault(enum.StrEnum):
    """Say how the store treats calls."""

    NONE = 'none'
    BUSY = 'busy'
    SILENT = 'silent'
    LOSE_ANSWERS = 'lose_answers'


@attrs.frozen(kw_only=True)
class StoredRecord:
    """Hold one record of a keyed topic."""

    key: str
    payload: bytes
    offset: int


@attrs.define(kw_only=True)
class StoredTopic:
    """Hold the records of a topic; those before ``first`` expired."""

    records: list[StoredRecord] = attrs.field(factory=list)
    first: int = 0
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return len(self.records)

    def newest(self) -> list[StoredRecord]:
        """Return the newest record of each key that was not dropped."""
        by_key = {record.key: record for record in self.records}
        return [record for record in by_key.values() if record.payload]

    def append(self, key: str, payload: bytes) -> int:
        """Add a record and return its offset."""
        offset = self.end
        self.records.append(
            StoredRecord(key=key, payload=payload, offset=offset),
        )
        self.changed.set()
        self.changed = asyncio.Event()
        return offset


class FleetStore:
    """Hold topics and serve the calls of the platform's pages.

    ``faults`` maps the IP address of a caller to its fault; the empty
    address stands for all others.
    """

    def __init__(self) -> None:
        """Start empty and healthy."""
        self.topics: dict[str, StoredTopic] = {}
        self.faults: dict[str, StoreFault] = {}
        self.reads = 0

    def application(self) -> web.Application:
        """Return the application that answers calls."""
        application = web.Application()
        router = application.router
        router.add_post(f'{_PREFIX}log-append', self.append)
        router.add_get(f'{_PREFIX}log-read', self.read)
        router.add_get(f'{_PREFIX}log-newest', self.newest)
        return application

    def topic(self, name: str) -> StoredTopic:
        """Return a topic, which its first use creates."""
        return self.topics.setdefault(name, StoredTopic())

    def put(self, topic: str, key: str, document: object) -> int:
        """Write as the operator or an engine does; None drops the key."""
        payload = b'' if document is None else orjson.dumps(document)
        return self.topic(topic).append(key, payload)

    async def append(self, request: web.Request) -> web.Response:
        """Append one record, under a condition if one is given."""
        fault = await self._fault(request)
        if fault is StoreFault.BUSY:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        topic = self.topic(request.query['topic'])
        expected = request.query.get('at')
        if expected is not None and int(expected) != topic.end:
            return web.json_response(
                {'end': topic.end}, status=HTTPStatus.PRECONDITION_FAILED
            )
        content = (await request.read())[_LENGTH_BYTES:]
        key_end = 1 + content[0]
        offset = topic.append(content[1:key_end].decode(), content[key_end:])
        if fault is StoreFault.LOSE_ANSWERS:
            request.transport.abort()
        return web.json_response({'offset': offset, 'end': topic.end})

    async def read(self, request: web.Request) -> web.Response:
        """Return records from an offset, waiting for one if asked."""
        self.reads += 1
        if await self._fault(request) is StoreFault.BUSY:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        topic = self.topic(request.query['topic'])
        start = int(request.query['from'])
        if start < topic.first:
            return web.json_response(
                {'first': topic.first}, status=HTTPStatus.GONE
            )
        await self._wait(topic, start, int(request.query.get('wait_ms', 0)))
        body = topic.end.to_bytes(_OFFSET_BYTES, 'big')
        body += topic.first.to_bytes(_OFFSET_BYTES, 'big')
        for record in topic.records[start:]:
            name = record.key.encode()
            content = bytes((len(name),)) + name + record.payload
            body += len(content).to_bytes(_LENGTH_BYTES, 'big') + content
        return web.Response(body=body)

    async def newest(self, request: web.Request) -> web.Response:
        """Return the newest record of each key, in one page."""
        self.reads += 1
        if await self._fault(request) is StoreFault.BUSY:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        topic = self.topic(request.query['topic'])
        records = [
            {
                'key': record.key,
                'value': base64.b64encode(record.payload).decode(),
                'offset': record.offset,
            }
            for record in topic.newest()
        ]
        return web.json_response(
            {'items': records, 'has_more': False, 'end': topic.end},
        )

    async def _fault(self, request: web.Request) -> StoreFault:
        fault = self.faults.get(request.remote or '')
        fault = fault or self.faults.get('', StoreFault.NONE)
        if fault is StoreFault.SILENT:
            await asyncio.sleep(_SILENT_S)
        return fault

    async def _wait(
        self,
        topic: StoredTopic,
        start: int,
        wait_ms: int,
    ) -> None:
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while topic.end <= start:
                    await topic.changed.wait()
        except TimeoutError:
            return
