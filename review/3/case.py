"""Engines hand out wrong bytes: the status line of an answer is none."""

import asyncio
import re
import sys
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
    run_case,
)

SERVICE = 'comptoir'
ORDERS = 600
AT_ONCE = 6
# One or two digits of "HTTP/1.1 200 OK" are wrong.
WRONG_STATUSES = (b'000', b'101', b'020')
EACH_NTH_IS_WRONG = 50
# The first line of a final answer; 1xx are not final.
STATUS_LINE = re.compile(rb'HTTP/1\.[01] [2-5][0-9]{2}( [^\r\n]*)?')


class WrongEngine(Engine):
    """Spoil the status line of some answers."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self.answers = 0
        self.spoiled: dict[str, bytes] = {}

    def whole_answer(self, headers: dict[str, str]) -> bytes:
        answer = super().whole_answer(headers)
        self.answers += 1
        if not has_trouble() or self.answers % EACH_NTH_IS_WRONG:
            return answer
        number = len(self.spoiled) % len(WRONG_STATUSES)
        status = WRONG_STATUSES[number]
        self.spoiled[headers['attempt-id']] = status
        self.record.write(
            f'{self.id} answers {headers["attempt-id"]} with {status.decode()}'
        )
        return answer.replace(b'200', status, 1)


async def send(node, attempt_id: str, record: Record) -> bytes:
    """Return all that a client gets on a connection of its own."""
    request = build_request(
        attempt_id,
        '/order/x',
        f'{SERVICE}.example',
        4003,
        {'Connection': 'close'},
    )
    reader, writer = await asyncio.open_connection(node.ip, 8782)
    try:
        writer.write(request)
        async with asyncio.timeout(6):
            return await reader.read()
    except (OSError, TimeoutError) as error:
        record.write(f'{attempt_id}: {error!r}')
        return b''
    finally:
        writer.transport.abort()


async def case(record: Record) -> int:
    deployment = Deployment(record)
    try:
        return await play(deployment, record)
    finally:
        await deployment.close()


async def play(deployment: Deployment, record: Record) -> int:
    await deployment.serve_store()
    deployment.configure(plain_configuration([SERVICE]))
    faulty = WrongEngine('i-faulty', SERVICE, 'plateau', 0.02)
    await deployment.add_engine(faulty)
    for number in range(2):
        await deployment.add_engine(
            Engine(f'i-sound-{number}', SERVICE, 'plateau', 0.02)
        )
    node = await deployment.add_node('frontend-plateau-1', 'plateau')
    await deployment.wait_until_ready()
    wrong: dict[str, bytes] = {}
    served = 0
    limit = asyncio.Semaphore(AT_ONCE)

    async def send_order(number: int) -> None:
        nonlocal served
        async with limit:
            attempt_id = f'order-{number}'
            received = await send(node, attempt_id, record)
        line = received.partition(b'\r\n')[0]
        record.write(f'client: {attempt_id} -> {line!r}')
        served += line.startswith(b'HTTP/1.1 200')
        if received and not STATUS_LINE.fullmatch(line):
            wrong[attempt_id] = line

    await asyncio.gather(*(send_order(number) for number in range(ORDERS)))
    for attempt_id, line in wrong.items():
        record.write(
            f'{attempt_id}: the engine sent '
            f'{faulty.spoiled.get(attempt_id)!r}, the client got {line!r}'
        )
    return finish(
        record,
        bool(wrong),
        f'{ORDERS} orders, {served} answered 200; {len(faulty.spoiled)} of '
        f'{faulty.answers} answers of the faulty engine had no valid status; '
        f'clients got bytes that are no answer for {len(wrong)}: '
        f'{sorted(set(wrong.values()))}',
    )


if __name__ == '__main__':
    sys.exit(run_case(case, Record(HERE / 'record.txt')))
