"""An engine sends bytes that are no answer, without end, in a stream's body."""

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from lib.deployment import (  # noqa: E402
    Deployment,
    Engine,
    Record,
    build_request,
    finish,
    has_trouble,
    plain_configuration,
    read_answer,
    run_case,
)

NOTES = 'redacteur'
ORDERS = 'comptoir'
CLIENTS = 12
# From the sheet and the site file of psr-caisse-large.
ORDER_TIMEOUT_S = 0.8
ANSWER_SLACK_S = 0.5
DEADLINE_MS = 1578
# After such a gap without an event clients leave a stream: the longest of two
# seconds, four times the objective (408 ms) and eight times the pause (400 ms).
STREAM_GAP_S = 3.2
EVENTS = 20
EVENT_S = 0.02
# The links of machines carry 10 to 100 Mbit/s there.
BYTES_PER_S = 10_000_000
# Bounds of the sheet of psr-caisse-large that differ from the example.
SETTINGS = {
    'link_mbps': '100.0',
    'fd_limit': 4100,
    'contact_ms': 5000,
    'ack_timeout_ms': 8000,
    'catch_up_s': 6,
    'drain_timeout_ms': 4000,
    'config_apply_ms': 4000,
    'outer_bound_ms': 8000,
    'retry_budget_slack': 430,
    'recovery_s': 15,
    'transit_ms': 200,
    'version_ms': 10000,
    'version_all_ms': 14000,
    'writes_per_s': 3200,
    'reads_per_s': 16000,
}
PIECE = b'\n\n' * 32_768
FLOOD_LIMIT_S = 15.0
# One answer in fifty of one engine of three is spoiled at most.
NOTE_ENGINES = 3
SOUND_ANSWERS = 55
STREAM_INTERVAL_S = 0.12
AFTER_FLOOD_S = 8.0
START_LIMIT_S = 60.0
MOST_UNANSWERED = 7
MOST_SHARE = 0.25


class NoteEngine(Engine):
    """Answer with streams of events; fill the next one with empty lines."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self.floods_left = 0
        self.flooded_bytes = 0
        self.answers = 0

    async def answer(self, headers, writer) -> None:
        lines = [
            'HTTP/1.1 200 OK',
            f'Attempt-Id: {headers["attempt-id"]}',
            f'Response-Stamp: stamp.{self.id}',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            '',
            '',
        ]
        writer.write('\r\n'.join(lines).encode())
        self.answers += 1
        if self.floods_left:
            self.floods_left -= 1
            await self._flood(writer)
            raise EOFError
        for number in range(1, EVENTS + 1):
            event = b'id: %d\ndata: w%d\n\n' % (number, number)
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await asyncio.sleep(EVENT_S)
        writer.write(b'0\r\n\r\n')

    async def _flood(self, writer) -> None:
        self.record.write(f'{self.id} sends empty lines until it is closed')
        piece = b'%x\r\n%b\r\n' % (len(PIECE), PIECE)
        began_s = time.monotonic()
        sent_bytes = 0
        while time.monotonic() < began_s + FLOOD_LIMIT_S:
            writer.write(piece)
            await writer.drain()
            sent_bytes += len(piece)
            self.flooded_bytes += len(piece)
            due_s = began_s + sent_bytes / BYTES_PER_S
            await asyncio.sleep(max(0.001, due_s - time.monotonic()))


class OrderClient:
    """Send one order after the other on a connection that is kept."""

    def __init__(self, number: int, node, record: Record) -> None:
        self.number = number
        self.node = node
        self.record = record
        self.rng = random.Random(number)
        self.count = 0
        self.is_stopping = False
        self.took_s: dict[str, float] = {}

    async def run(self) -> None:
        while not self.is_stopping:
            try:
                reader, writer = await asyncio.open_connection(
                    self.node.ip, 8782
                )
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                while not self.is_stopping:
                    if not await self._order(reader, writer):
                        break
                    await asyncio.sleep(self.rng.uniform(0, 0.2))
            finally:
                writer.transport.abort()

    async def _order(self, reader, writer) -> bool:
        """Send one order; return whether it was answered before its deadline."""
        self.count += 1
        attempt_id = f'order-{self.number}-{self.count}'
        sent_s = time.monotonic()
        writer.write(
            build_request(
                attempt_id, '/order/x', f'{ORDERS}.example', DEADLINE_MS
            )
        )
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                outcome = str((await read_answer(reader)).status)
        except (EOFError, OSError, TimeoutError) as error:
            outcome = repr(error)
        took_s = time.monotonic() - sent_s
        self.took_s[attempt_id] = took_s
        self.record.write(f'{attempt_id} -> {outcome} in {took_s:.3f} s')
        return outcome.isdigit()


async def take_stream(node, attempt_id: str, record: Record) -> None:
    """Ask for a stream, and leave it after a gap without an event."""
    reader, writer = await asyncio.open_connection(node.ip, 8782)
    events = received = 0
    end = 'complete'
    try:
        writer.write(
            build_request(
                attempt_id, '/order/n', f'{NOTES}.example', 15_285
            )
        )
        last_event_s = time.monotonic()
        while True:
            left_s = last_event_s + STREAM_GAP_S - time.monotonic()
            async with asyncio.timeout(max(0, left_s)):
                piece = await reader.read(1_000_000)
            received += len(piece)
            if b'data: ' in piece:
                events += piece.count(b'data: ')
                last_event_s = time.monotonic()
            if not piece or b'0\r\n\r\n' in piece[-5:]:
                break
    except (OSError, TimeoutError) as error:
        end = repr(error)
    finally:
        writer.transport.abort()
    record.write(f'{attempt_id}: {events} events, {received} bytes, {end}')


async def begin_streams(node, record: Record, faulty, streams) -> None:
    """Ask for one stream after the other, each on a connection of its own."""
    number = 0
    while True:
        number += 1
        streams.append(
            asyncio.create_task(take_stream(node, f'note-{number}', record))
        )
        await asyncio.sleep(STREAM_INTERVAL_S)


async def probe_readiness(node, record: Record, probes: list[bool]) -> None:
    """Ask once a second, as the platform does."""
    while True:
        is_ready = await node.is_ready()
        probes.append(is_ready)
        if not is_ready:
            record.write('the readiness probe got no 200 within a second')
        await asyncio.sleep(0 if not is_ready else 1)


async def case(record: Record) -> int:
    deployment = Deployment(record, SETTINGS)
    try:
        return await play(deployment, record)
    finally:
        await deployment.close()


def build_configuration() -> dict:
    configuration = plain_configuration([NOTES, ORDERS])
    notes, orders = configuration['routes']
    notes.update(
        kind='streaming',
        timeout_ms=15_000,
        target_gap_ms=400,
        max_attempts=2,
        resumable=True,
    )
    orders['timeout_ms'] = int(ORDER_TIMEOUT_S * 1000)
    return configuration


async def play(deployment: Deployment, record: Record) -> int:
    await deployment.serve_store()
    deployment.configure(build_configuration())
    note_engines = [
        NoteEngine(f'i-note-{n}', NOTES, 'plateau')
        for n in range(NOTE_ENGINES)
    ]
    order_engines = [Engine(f'i-order-{n}', ORDERS, 'plateau') for n in (0, 1, 2)]
    for engine in (*note_engines, *order_engines):
        await deployment.add_engine(engine)
    node = await deployment.add_node('frontend-plateau-1', 'plateau')
    await deployment.wait_until_ready()
    clients = [OrderClient(n, node, record) for n in range(CLIENTS)]
    order_tasks = [asyncio.create_task(client.run()) for client in clients]
    probes: list[bool] = []
    platform = asyncio.create_task(probe_readiness(node, record, probes))
    faulty = note_engines[0]
    streams: list[asyncio.Task] = []
    begin = asyncio.create_task(
        begin_streams(node, record, faulty, streams)
    )
    limit_s = time.monotonic() + START_LIMIT_S
    while faulty.answers < SOUND_ANSWERS and time.monotonic() < limit_s:
        await asyncio.sleep(0.05)
    if has_trouble():
        faulty.floods_left = 1
    await asyncio.sleep(AFTER_FLOOD_S)
    begin.cancel()
    for client in clients:
        client.is_stopping = True
    await asyncio.gather(*order_tasks, *streams)
    platform.cancel()
    note_answers = faulty.answers
    took_s = {a: s for client in clients for a, s in client.took_s.items()}
    over = [a for a, s in took_s.items() if s > ORDER_TIMEOUT_S]
    limit_s = ORDER_TIMEOUT_S + ANSWER_SLACK_S
    unanswered = [a for a in over if took_s[a] > limit_s]
    ran = {a for engine in order_engines for _, a in engine.arrivals}
    is_broken = (
        len(unanswered) > MOST_UNANSWERED
        and len(unanswered) > MOST_SHARE * len(over)
    )
    return finish(
        record,
        is_broken,
        f'{len(took_s)} orders; {len(over)} lasted longer than timeout_ms, '
        f'{len(unanswered)} of them had no answer {ANSWER_SLACK_S} s after it '
        f'({len(ran.intersection(unanswered))} of these had run); slowest '
        f'{max(took_s.values()):.2f} s; {probes.count(False)} of {len(probes)} '
        f'readiness probes failed; {int(has_trouble())} of {note_answers} answers '
        f'of the faulty engine spoiled, {faulty.flooded_bytes} bytes sent',
    )


if __name__ == '__main__':
    sys.exit(run_case(case, Record(HERE / 'record.txt')))
