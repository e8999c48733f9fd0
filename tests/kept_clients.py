"""Send requests on connections that are kept, and note what came back.

A client library repeats what was lost on a kept connection; these don't.
"""

import asyncio
import random
import time
from collections.abc import Callable

import attrs

from tests.fleet_builders import (
    ENGINE_HOST,
    PLAIN_HOST,
    build_request_headers,
)
from tests.raw_clients import build_bytes

_HEAD_END = b'\r\n\r\n'
_LINE_END = b'\r\n'
_ANSWER_LIMIT_S = 8.0
_CONNECT_PAUSE_S = 0.05
_LONGEST_PAUSE_S = 0.15
_BODY = b'{"prompt": "x"}'


@attrs.frozen(kw_only=True)
class Outcome:
    """Hold what a client got for one request.

    ``status`` is 0 if there was no head; ``is_whole`` means that the response
    came to its end, ``is_first`` that the connection was new. ``waited_s`` is
    the time from its last byte to the end of its response or connection, and
    ``was_given_up`` means that the client ended the connection, and
    ``was_sent_whole`` that it sent the last byte. ``sent_s`` is
    in seconds of ``time.time``.
    """

    attempt_id: str
    path: str
    status: int
    is_whole: bool
    is_first: bool = False
    detail: str = ''
    waited_s: float = 0.0
    was_given_up: bool = False
    was_sent_whole: bool = True
    sent_s: float = 0.0


@attrs.define(kw_only=True)
class KeptClient:
    """Send one request after the other to ``path`` of a VM.

    ``build_extra_headers`` is called for each of them.
    """

    name: str
    node: object
    path: str
    seed: int
    is_stopping: bool = False
    outcomes: list[Outcome] = attrs.field(factory=list)
    build_extra_headers: Callable[[], dict[str, str]] = dict
    body: bytes = _BODY
    longest_pause_s: float = _LONGEST_PAUSE_S
    sent_s: float = 0.0
    is_sending: bool = False
    is_closing: bool = False

    async def run(self) -> None:
        """Send until ``is_stopping``; open a connection where one is closed."""
        rng = random.Random(self.seed)
        while not self.is_stopping:
            try:
                reader, writer = await asyncio.open_connection(
                    self.node.ip, self.node.port
                )
            except OSError:
                await asyncio.sleep(_CONNECT_PAUSE_S)
                continue
            try:
                await self._use(reader, writer, rng)
            finally:
                writer.close()

    async def _use(self, reader, writer, rng: random.Random) -> None:
        """Send requests until the connection ends."""
        is_first = True
        while not self.is_stopping:
            outcome = await self._request(reader, writer)
            self.outcomes.append(attrs.evolve(outcome, is_first=is_first))
            if not outcome.is_whole or self.is_closing:
                return
            is_first = False
            await asyncio.sleep(rng.uniform(0, self.longest_pause_s))

    async def _request(self, reader, writer) -> Outcome:
        attempt_id = f'{self.name}-{len(self.outcomes)}'
        fields = {
            **build_request_headers(
                attempt_id, host=PLAIN_HOST if self._is_plain() else ENGINE_HOST
            ),
            'Connection': 'keep-alive',
            **self.build_extra_headers(),
        }
        status = 0
        self.sent_s = time.time()
        self.is_sending = True
        try:
            async with asyncio.timeout(_ANSWER_LIMIT_S):
                writer.write(build_bytes(self.path, fields, self.body))
                await writer.drain()
                self.sent_s = time.time()
                self.is_sending = False
                head = await reader.readuntil(_HEAD_END)
                status = int(head.split()[1])
                self.is_closing = _announces_close(head.lower())
                await _read_body(reader, head.lower())
        except (
            OSError,
            asyncio.IncompleteReadError,
            TimeoutError,
        ) as error:
            return self._outcome(
                attempt_id,
                status,
                detail=repr(error),
                was_given_up=isinstance(error, TimeoutError),
            )
        return self._outcome(attempt_id, status, is_whole=True)

    def _is_plain(self) -> bool:
        return self.path.startswith(('/order/', '/look/'))

    def _outcome(
        self,
        attempt_id: str,
        status: int,
        *,
        is_whole: bool = False,
        detail: str = '',
        was_given_up: bool = False,
    ) -> Outcome:
        return Outcome(
            attempt_id=attempt_id,
            path=self.path,
            status=status,
            is_whole=is_whole,
            detail=detail,
            was_given_up=was_given_up,
            was_sent_whole=not self.is_sending,
            sent_s=self.sent_s,
            waited_s=time.time() - self.sent_s,
        )


def _announces_close(head: bytes) -> bool:
    return head.startswith(b'http/1.0') or b'connection: close' in head


async def _read_body(reader: asyncio.StreamReader, head: bytes) -> None:
    if b'transfer-encoding: chunked' not in head:
        length = head.partition(b'content-length:')[2].split(_LINE_END)[0]
        await reader.readexactly(int(length or 0))
        return
    size = 1
    while size:
        size = int((await reader.readuntil(_LINE_END)).strip(), 16)
        await reader.readexactly(size + len(_LINE_END))
