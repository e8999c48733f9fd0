"""A sound model engine in a process of its own; it ends when it is killed.

The arguments are its address, its id, the time of its start in ms, and 1 if a part
of its answers has neither a length nor chunks and ends with its connection; the
request's id decides which, so that it does not depend on the trouble. It serves
streams as PROTOCOL.md says.
"""

import asyncio
import hashlib
import json
import sys

MODEL = 'daka510000'
# In 256ths: 0.047 of the answers.
UNFRAMED_PARTS = 12
EVENT_TOKENS = 4
PREFILL_S = 0.03
EVENT_S = 0.03


def is_unframed(attempt_id: str) -> bool:
    """Return whether the answers to a request end with their connection."""
    digest = hashlib.sha256(attempt_id.encode()).digest()
    return digest[0] < UNFRAMED_PARTS


class Engine:
    def __init__(
        self, instance: str, born_ms: int, *, has_unframed: bool
    ) -> None:
        self.has_unframed = has_unframed
        self.instance = instance
        self.born_ms = born_ms
        self.orders = 0

    async def serve(self, reader, writer) -> None:
        try:
            while await self.serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer) -> bool:
        """Serve one request; return whether the connection goes on."""
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        request_line, *lines = head.strip().split('\r\n')
        headers = {
            name.lower(): text.strip()
            for name, _, text in (line.partition(':') for line in lines)
        }
        await reader.readexactly(int(headers.get('content-length', 0)))
        path = request_line.split(' ')[1]
        if path.startswith('/arbutusbay/report'):
            return await self.answer(writer, 200, json.dumps(self.report()))
        if path.startswith('/arbutusbay/order'):
            return await self.answer(writer, 200, '')
        if headers.get('expect-instance') != self.instance:
            return await self.answer(writer, 421, '')
        return await self.stream(reader, writer, headers)

    async def answer(self, writer, status: int, text: str) -> bool:
        writer.write(
            f'HTTP/1.1 {status} X\r\nInstance-Id: {self.instance}\r\n'
            f'Content-Length: {len(text)}\r\n\r\n{text}'.encode()
        )
        await writer.drain()
        return True

    def report(self) -> dict[str, object]:
        return {
            'born': self.born_ms,
            'stage': 'prefill_and_decode',
            'models': [{'name': MODEL, 'version': 1, 'adapters': []}],
            'busy': False,
            'sequence': self.orders,
            'waiting': 0,
            'running': 0,
            'kv_used': 0,
            'kv_total': 110989,
            'handles': 0,
        }

    async def stream(self, reader, writer, headers) -> bool:
        attempt_id = headers['attempt-id']
        unframed = self.has_unframed and is_unframed(attempt_id)
        last = int(headers['token-counts'].split(',')[1]) // EVENT_TOKENS
        first = int(headers.get('last-event-id', 0)) + 1
        lines = [
            'HTTP/1.1 200 OK',
            f'Attempt-Id: {attempt_id}',
            f'Response-Stamp: {self.instance}.{attempt_id}',
            'Weight-Versions: 1',
            'Server-Load: 1,0,64,100',
            'Content-Type: text/event-stream',
            *(() if unframed else ('Transfer-Encoding: chunked',)),
        ]
        await asyncio.sleep(PREFILL_S)
        writer.write('\r\n'.join((*lines, '', '')).encode())
        for number in range(first, last + 1):
            event = f'id: {number}\ndata: w{number}\n\n'.encode()
            frame = b'%x\r\n%s\r\n' % (len(event), event)
            writer.write(event if unframed else frame)
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        if not unframed:
            writer.write(b'0\r\n\r\n')
        return not unframed


async def main() -> None:
    host, _, port = sys.argv[1].partition(':')
    engine = Engine(
        sys.argv[2], int(sys.argv[3]), has_unframed=sys.argv[4] == '1'
    )
    server = await asyncio.start_server(engine.serve, host, int(port))
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main())
