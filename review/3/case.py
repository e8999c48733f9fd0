"""A machine is added while the engines of a service are replaced."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from lib.deployment import (  # noqa: E402
    DRAIN_TIMEOUT_S,
    SERVERS_TOPIC,
    Deployment,
    Engine,
    Record,
    build_request,
    exchange,
    finish,
    has_trouble,
    plain_configuration,
    run_case,
)

SERVICE = 'comptoir'
ZONE = 'plateau'
ENGINES = 8
ROUNDS = 4
ORDER_INTERVAL_S = 0.03
WORK_S = 0.2
# After its entry was removed an engine serves for drain_timeout_ms, and here
# for some seconds more, as the page allows; then it exits.
SERVES_S = DRAIN_TIMEOUT_S + 4.0
# The names of machines decide which of a zone reads the store for the others.
# Each one here goes before those that follow it.
NAMES = (
    'frontend-plateau-4',
    'frontend-plateau-7',
    'frontend-plateau-1',
    'frontend-plateau-5',
    'frontend-plateau-6',
    'frontend-plateau-2',
    'frontend-plateau-3',
)
AFTER_A_READ_S = 0.05


class Traffic:
    """Orders of clients, each sent once on a connection of its own."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.sent: dict[str, tuple[float, str]] = {}
        self.outcomes: dict[str, str] = {}
        self.tasks: set[asyncio.Task] = set()

    async def run(self, node) -> None:
        number = 0
        while True:
            number += 1
            attempt_id = f'{node.name}.{number}'
            task = asyncio.create_task(self._send(node, attempt_id))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(ORDER_INTERVAL_S)

    async def _send(self, node, attempt_id: str) -> None:
        self.sent[attempt_id] = (time.monotonic(), node.name)
        request = build_request(
            attempt_id, '/order/x', f'{SERVICE}.example', 4003
        )
        try:
            async with asyncio.timeout(5):
                answer = await exchange((node.ip, 8782), request)
            outcome = str(answer.status)
        except (OSError, EOFError, TimeoutError) as error:
            outcome = repr(error)
        self.outcomes[attempt_id] = outcome
        self.record.write(f'client: {attempt_id} -> {outcome}')


class StoreWatch:
    """See when the store is read, and act before a first read is answered."""

    def __init__(self, deployment: Deployment) -> None:
        self.read_s = 0.0
        self.first_read_s = 0.0
        self.before_first_read = lambda: None
        self.newest = deployment.store.newest
        self.read = deployment.store.read
        deployment.store.newest = self._newest
        deployment.store.read = self._read

    async def _newest(self, request):
        if request.query['topic'] == SERVERS_TOPIC:
            self.first_read_s = time.monotonic()
            self.before_first_read()
        return await self.newest(request)

    async def _read(self, request):
        if request.query['topic'] == SERVERS_TOPIC:
            self.read_s = time.monotonic()
        return await self.read(request)


async def case(record: Record) -> int:
    deployment = Deployment(record)
    try:
        return await play(deployment, record)
    finally:
        await deployment.close()


async def play(deployment: Deployment, record: Record) -> int:
    watch = StoreWatch(deployment)
    await deployment.serve_store()
    deployment.configure(plain_configuration([SERVICE]))
    for number in range(ENGINES):
        await deployment.add_engine(Engine(f'i-{number}', SERVICE, ZONE, WORK_S))
    waiting = list(NAMES)
    started_s = time.monotonic()
    first = [await deployment.add_node(waiting.pop(), ZONE) for _ in range(3)]
    await deployment.wait_until_ready()
    start_s = watch.first_read_s - started_s
    traffic = Traffic(record)
    tasks = [asyncio.create_task(traffic.run(node)) for node in first]
    await asyncio.sleep(4)
    late: list[str] = []
    lost: list[str] = []
    for number in range(ROUNDS):
        old = deployment.engines[number]
        new = Engine(f'i-{ENGINES + number}', SERVICE, ZONE, WORK_S)
        await deployment.add_engine(new)
        await asyncio.sleep(1.5)
        removed: list[float] = []

        def leave(engine=old, moments=removed) -> None:
            if not moments:
                deployment.remove_entry(engine)
                moments.append(time.monotonic())

        if has_trouble():
            # The new machine asks the store for the first time shortly after
            # one of the reads that take place each 0.9 s.
            seen_s = watch.read_s
            while watch.read_s == seen_s:
                await asyncio.sleep(0.002)
            delay_s = AFTER_A_READ_S - start_s
            while delay_s < 0:
                delay_s += 0.9
            await asyncio.sleep(delay_s)
            began_s = time.monotonic()
            watch.before_first_read = leave
            node = await deployment.add_node(waiting.pop(), ZONE)
            while not await node.is_ready():
                await asyncio.sleep(0.02)
            start_s = watch.first_read_s - began_s
            record.write(
                f'{node.name} read the store {start_s:.3f} s after its start, '
                f'is ready {time.monotonic() - began_s:.3f} s after it'
            )
            tasks.append(asyncio.create_task(traffic.run(node)))
            watch.before_first_read = lambda: None
        leave()
        await asyncio.sleep(SERVES_S)
        await old.close()
        record.write(f'{old.id} has exited')
        await asyncio.sleep(0.5)
        limit_s = removed[0] + DRAIN_TIMEOUT_S
        late_here = [
            (attempt_id, arrived_s - removed[0])
            for arrived_s, attempt_id in old.arrivals
            if arrived_s > limit_s and traffic.sent[attempt_id][0] > limit_s
        ]
        late += [attempt_id for attempt_id, _ in late_here]
        lost += [
            a
            for a, _ in late_here
            if traffic.outcomes.get(a) != '200'
        ]
        record.write(f'round {number}: {len(late_here)} late at {old.id}')
        if late_here:
            record.write(
                'the latest, in s after the acknowledgement: '
                + ', '.join(f'{a} {s:.2f}' for a, s in late_here[-5:])
            )
            break
    for task in tasks:
        task.cancel()
    await asyncio.gather(*traffic.tasks)
    refused = {
        a: o for a, o in traffic.outcomes.items() if o != '200'
    }
    return finish(
        record,
        bool(late),
        f'{len(late)} orders reached an engine over {DRAIN_TIMEOUT_S} s after '
        'the store had acknowledged that its entry is gone; '
        f'{len(lost)} of them ended without its answer ({lost}); '
        f'{len(traffic.outcomes)} orders sent, {len(refused)} of all not 200',
    )


if __name__ == '__main__':
    sys.exit(run_case(case, Record(HERE / 'record.txt')))
