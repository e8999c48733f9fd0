"""Emulate the platform's store: topics of keyed records, with faults.

The store can be restored from a copy, as after a disaster drill: records
appended since are lost, their offsets are assigned again and the era rises.
"""

import asyncio
import base64
import enum
from collections.abc import Iterator
from http import HTTPStatus

import attrs
import orjson
from aiohttp import web

from emulator._silence import Silence

_LENGTH_BYTES = 4
_OFFSET_BYTES = 8
_PATH_PREFIX = '/arbutusbay/'
_SILENCE_S = 60
_ERA_HEADER = 'Store-Era'


class StoreFault(enum.StrEnum):
    """List the faults that the store can inject into calls.

    BUSY responds 503, SILENT delays the response by a minute and
    LOSE_ANSWERS aborts the connection of an append that took effect.
    """

    NONE = 'none'
    BUSY = 'busy'
    SILENT = 'silent'
    LOSE_ANSWERS = 'lose_answers'


@attrs.frozen(kw_only=True)
class StoredRecord:
    """Store one record; an empty payload deletes its key."""

    key: str
    payload: bytes
    offset: int


@attrs.define(kw_only=True)
class StoredTopic:
    """Store the records of a topic.

    Reads below ``first_offset`` fail, as after retention expired them.
    """

    records: list[StoredRecord] = attrs.field(factory=list)
    first_offset: int = 0
    record_appended: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def next_offset(self) -> int:
        """Return the offset that the next record will get."""
        return len(self.records)

    def newest_records(self) -> list[StoredRecord]:
        """Return the newest record of each key that is not deleted."""
        newest_by_key = {record.key: record for record in self.records}
        return [record for record in newest_by_key.values() if record.payload]

    def truncate(self, end: int) -> None:
        """Drop the records from the offset ``end`` on."""
        self.records = self.records[:end]

    def append(self, key: str, payload: bytes) -> int:
        """Append a record, wake up readers and return its offset."""
        offset = self.next_offset
        self.records.append(
            StoredRecord(key=key, payload=payload, offset=offset),
        )
        self.record_appended.set()
        self.record_appended = asyncio.Event()
        return offset


class FleetStore:
    """Serve append, read and newest calls on topics in memory.

    ``faults`` maps the IP address of a caller to its fault; the empty
    string applies to all other callers. ``era`` counts how often the store
    was restored, from 1 on. During a ``silence`` it sends nothing.
    """

    def __init__(self) -> None:
        """Start without topics and faults."""
        self.topics: dict[str, StoredTopic] = {}
        self.faults: dict[str, StoreFault] = {}
        self.era = 1
        self.read_count = 0
        self.silence = Silence()

    def application(self) -> web.Application:
        """Build the HTTP application."""
        application = web.Application()
        application.on_response_prepare.append(self._add_era)
        router = application.router
        router.add_post(f'{_PATH_PREFIX}log-append', self.append)
        router.add_get(f'{_PATH_PREFIX}log-read', self.read)
        router.add_get(f'{_PATH_PREFIX}log-newest', self.newest)
        return application

    def topic(self, name: str) -> StoredTopic:
        """Return a topic and create it on first use."""
        return self.topics.setdefault(name, StoredTopic())

    def copy_ends(self) -> dict[str, int]:
        """Return where each topic ends, as the copy to restore from."""
        return {name: topic.next_offset for name, topic in self.topics.items()}

    def restore(self, ends: dict[str, int]) -> None:
        """Lose all records that are newer than the copy ``ends``."""
        for name, topic in self.topics.items():
            topic.truncate(ends.get(name, 0))
        self.era += 1

    def append_document(self, topic: str, key: str, document: object) -> int:
        """Append a JSON document without HTTP and return its offset.

        A ``document`` of None deletes the key.
        """
        payload = b'' if document is None else orjson.dumps(document)
        return self.topic(topic).append(key, payload)

    async def append(self, request: web.Request) -> web.Response:
        """Append one or more records.

        Responds 412 if the parameter ``at`` is given and the topic doesn't
        end at that offset.
        """
        fault = await self._fault_for_caller(request)
        if fault is StoreFault.BUSY:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        topic = self.topic(request.query['topic'])
        expected = request.query.get('at')
        if expected is not None and int(expected) != topic.next_offset:
            return web.json_response(
                {'end': topic.next_offset},
                status=HTTPStatus.PRECONDITION_FAILED,
            )
        offset = topic.next_offset
        for content in _split_records(await request.read()):
            key_end = 1 + content[0]
            topic.append(content[1:key_end].decode(), content[key_end:])
        if fault is StoreFault.LOSE_ANSWERS:
            request.transport.abort()
        return web.json_response({'offset': offset, 'end': topic.next_offset})

    async def read(self, request: web.Request) -> web.Response:
        """Return records from an offset, in binary form.

        Waits up to ``wait_ms`` for a record at that offset. Responds 410 if
        the offset has expired or lies beyond the end.
        """
        self.read_count += 1
        if await self._fault_for_caller(request) is StoreFault.BUSY:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        topic = self.topic(request.query['topic'])
        start = int(request.query['from'])
        if not topic.first_offset <= start <= topic.next_offset:
            return web.json_response(
                {'first': topic.first_offset}, status=HTTPStatus.GONE
            )
        await self._wait_for_record(
            topic, start, int(request.query.get('wait_ms', 0))
        )
        body = topic.next_offset.to_bytes(_OFFSET_BYTES, 'big')
        body += topic.first_offset.to_bytes(_OFFSET_BYTES, 'big')
        for record in topic.records[start:]:
            key = record.key.encode()
            content = bytes((len(key),)) + key + record.payload
            body += len(content).to_bytes(_LENGTH_BYTES, 'big') + content
        return web.Response(body=body)

    async def newest(self, request: web.Request) -> web.Response:
        """Return the newest record of each key, in a single page."""
        self.read_count += 1
        if await self._fault_for_caller(request) is StoreFault.BUSY:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        topic = self.topic(request.query['topic'])
        records = [
            {
                'key': record.key,
                'value': base64.b64encode(record.payload).decode(),
                'offset': record.offset,
            }
            for record in topic.newest_records()
        ]
        return web.json_response(
            {'items': records, 'has_more': False, 'end': topic.next_offset},
        )

    async def _add_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers[_ERA_HEADER] = str(self.era)
        await self.silence.over.wait()

    async def _fault_for_caller(self, request: web.Request) -> StoreFault:
        fault = self.faults.get(request.remote or '')
        fault = fault or self.faults.get('', StoreFault.NONE)
        await self.silence.over.wait()
        if fault is StoreFault.SILENT:
            await asyncio.sleep(_SILENCE_S)
        return fault

    async def _wait_for_record(
        self,
        topic: StoredTopic,
        start: int,
        wait_ms: int,
    ) -> None:
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while topic.next_offset <= start:
                    await topic.record_appended.wait()
        except TimeoutError:
            return


def _split_records(body: bytes) -> Iterator[bytes]:
    """Yield the contents of the records in the body of an append."""
    while body:
        end = _LENGTH_BYTES + int.from_bytes(body[:_LENGTH_BYTES], 'big')
        yield body[_LENGTH_BYTES:end]
        body = body[end:]
