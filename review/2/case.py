"""An engine sends bytes that are no answer, without end, in a head."""

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from lib.deployment import (  # noqa: E402
    MEMORY_MB,
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

SERVICE = 'comptoir'
CLIENTS = 16
# The largest share of the machine's link, which carries 350 Mbit/s.
BYTES_PER_S = 40_000_000
PIECE_BYTES = 100_000
NO_ANSWER = b'HTTP/1.1 100 Continue\r\n\r\n'
FLOOD_LIMIT_S = 10.0
CALM_S = 3.0
FLOODS = 4
BETWEEN_FLOODS_S = 5.0
RESTART_S = 1.0
ALLOWED_LOSSES = 3


class FloodingEngine(Engine):
    """Send bytes that are no answer to one request, until it is closed."""

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)
        self.floods_left = 0
        self.flooded_bytes = 0

    async def answer(self, headers, writer) -> None:
        if not self.floods_left:
            await super().answer(headers, writer)
            return
        self.floods_left -= 1
        await asyncio.sleep(self.work_s)
        self.record.write(
            f'{self.id} sends bytes that are no answer to '
            f'{headers["attempt-id"]}, until it is closed'
        )
        piece = NO_ANSWER * (PIECE_BYTES // len(NO_ANSWER))
        began_s = time.monotonic()
        end_s = began_s + FLOOD_LIMIT_S
        while time.monotonic() < end_s:
            writer.write(piece)
            await writer.drain()
            self.flooded_bytes += len(piece)
            due_s = began_s + self.flooded_bytes / BYTES_PER_S
            await asyncio.sleep(max(0.001, due_s - time.monotonic()))
        raise EOFError


class Client:
    """Send one request after the other on a connection that it keeps."""

    def __init__(self, number: int, node, record: Record) -> None:
        self.number = number
        self.node = node
        self.record = record
        self.count = 0
        self.answered: list[str] = []
        self.unanswered: list[str] = []
        self.longest_s = 0.0
        self.rng = random.Random(number)

    async def run(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            try:
                reader, writer = await asyncio.open_connection(
                    self.node.ip, 8782
                )
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                await self._use(reader, writer, end_s)
            finally:
                writer.transport.abort()

    async def _use(self, reader, writer, end_s: float) -> None:
        """Send requests on one connection until it is closed."""
        while time.monotonic() < end_s:
            self.count += 1
            attempt_id = f'c{self.number}-{self.count}'
            sent_s = time.monotonic()
            self.record.write(f'{attempt_id} sent to {self.node.name}')
            writer.write(
                build_request(
                    attempt_id, '/order/x', f'{SERVICE}.example', 4003
                )
            )
            try:
                async with asyncio.timeout(6):
                    answer = await read_answer(reader)
            except (EOFError, OSError, TimeoutError) as error:
                self.record.write(f'{attempt_id} not answered: {error!r}')
                self.unanswered.append(attempt_id)
                return
            took_s = time.monotonic() - sent_s
            self.longest_s = max(self.longest_s, took_s)
            self.record.write(
                f'{attempt_id} answered {answer.status} in {took_s:.3f} s'
            )
            self.answered.append(attempt_id)
            await asyncio.sleep(self.rng.uniform(0, 0.05))


class Platform:
    """Kill the process when it exceeds its memory, and start it again."""

    def __init__(self, node, record: Record) -> None:
        self.node = node
        self.record = record
        self.peak_mb = 0.0
        self.kills = 0

    async def run(self) -> None:
        while True:
            memory_mb = self.node.memory_mb()
            self.peak_mb = max(self.peak_mb, memory_mb)
            if memory_mb > MEMORY_MB:
                self.record.write(
                    f'{self.node.name} uses {memory_mb:.0f} MB of {MEMORY_MB}'
                )
                self.kills += 1
                await self.node.kill()
                await asyncio.sleep(RESTART_S)
                await self.node.start()
            await asyncio.sleep(0.02)


async def case(record: Record) -> int:
    deployment = Deployment(record)
    try:
        return await play(deployment, record)
    finally:
        await deployment.close()


async def play(deployment: Deployment, record: Record) -> int:
    await deployment.serve_store()
    deployment.configure(plain_configuration([SERVICE]))
    faulty = FloodingEngine('i-faulty', SERVICE, 'plateau')
    sound = [Engine(f'i-sound-{n}', SERVICE, 'plateau') for n in range(2)]
    for engine in (faulty, *sound):
        await deployment.add_engine(engine)
    node = await deployment.add_node('frontend-plateau-1', 'plateau')
    await deployment.wait_until_ready()
    record.write(f'ready with {node.memory_mb():.0f} MB')
    platform = Platform(node, record)
    guard = asyncio.create_task(platform.run())
    end_s = time.monotonic() + CALM_S + FLOODS * BETWEEN_FLOODS_S
    clients = [Client(n, node, record) for n in range(CLIENTS)]
    tasks = [asyncio.create_task(client.run(end_s)) for client in clients]
    await asyncio.sleep(CALM_S)
    record.write(f'{node.name} uses {node.memory_mb():.0f} MB before')
    for _ in range(FLOODS):
        if has_trouble():
            faulty.floods_left = 1
        await asyncio.sleep(BETWEEN_FLOODS_S)
    await asyncio.sleep(0.5)
    for task in tasks:
        task.cancel()
    guard.cancel()
    # A request that a sound engine ran, and whose kept connection was closed.
    ran = {attempt for engine in sound for _, attempt in engine.arrivals}
    lost = [a for c in clients for a in c.unanswered if a in ran]
    answered = sum(len(client.answered) for client in clients)
    longest_s = max(client.longest_s for client in clients)
    return finish(
        record,
        len(lost) > ALLOWED_LOSSES,
        f'{answered} answered, longest {longest_s:.2f} s; peak '
        f'{platform.peak_mb:.0f} MB; ended for memory: {platform.kills} times; '
        'requests of kept connections that '
        f'sound engines ran and that got no answer: {len(lost)} ({lost}); '
        f'{faulty.flooded_bytes} bytes sent that were no answer',
    )


if __name__ == '__main__':
    sys.exit(run_case(case, Record(HERE / 'record.txt')))
