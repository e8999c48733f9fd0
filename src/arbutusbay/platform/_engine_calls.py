"""Ask engines for their state and order them to load weights."""

import asyncio
import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import aiohttp
import attrs
import orjson
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.platform._documents import weights_from_models
from arbutusbay.platform._fields import as_table, get_flag, get_whole
from arbutusbay.platform._names import EnginePath, Header


class SwitchMode(enum.StrEnum):
    """Say what happens to streams that run while weights change."""

    FINISH_FIRST = 'wait'
    RESET = 'terminate'
    RUN_ON = 'retain'


class OrderOutcome(enum.StrEnum):
    """Say what became of an order."""

    ACCEPTED = 'accepted'
    ALREADY_DONE = 'already_done'
    BUSY_OR_CHANGED = 'busy_or_changed'
    FENCED = 'fenced'
    OTHER_INCARNATION = 'other_incarnation'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


_OUTCOMES: Mapping[int, OrderOutcome] = MappingProxyType(
    {
        200: OrderOutcome.ALREADY_DONE,
        202: OrderOutcome.ACCEPTED,
        409: OrderOutcome.BUSY_OR_CHANGED,
        412: OrderOutcome.FENCED,
        421: OrderOutcome.OTHER_INCARNATION,
        400: OrderOutcome.REFUSED,
    }
)


@attrs.frozen(kw_only=True)
class EngineReport:
    """Hold what an engine says of itself.

    ``order_count`` counts accepted orders since its start.
    """

    weights: Mapping[str, int]
    is_loading: bool
    order_count: int
    running: int
    waiting: int


@attrs.frozen(kw_only=True)
class LoadOrder:
    """Order an engine to load a weights version.

    ``expected_orders`` refuses the order if others came in between.
    """

    model: str
    version: int
    mode: SwitchMode
    holder: str
    fence: int
    expected_orders: int | None


async def fetch_report(
    session: aiohttp.ClientSession,
    address: str,
    *,
    timeout_s: float,
) -> Result[EngineReport, Failure]:
    """Return the report of the engine at ``address``."""
    try:
        async with session.get(
            f'http://{address}{EnginePath.REPORT.value}',
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            return Ok(_report_from(await response.read()))
    except (
        aiohttp.ClientError,
        asyncio.TimeoutError,
        OSError,
        ValueError,
    ) as error:
        return Err(
            Failure(kind=ErrorKind.PEER_UNREACHABLE, detail=repr(error)),
        )


async def send_load_order(
    session: aiohttp.ClientSession,
    address: str,
    instance: str,
    order: LoadOrder,
    *,
    timeout_s: float,
) -> OrderOutcome:
    """Send ``order`` to the engine, if it still is ``instance``."""
    body: dict[str, Any] = {
        'operation': 'version',
        'model': order.model,
        'version': order.version,
        'switch_mode': order.mode.value,
        'holder': order.holder,
        'fencing_token': order.fence,
    }
    if order.expected_orders is not None:
        body['expect'] = order.expected_orders
    try:
        async with session.post(
            f'http://{address}{EnginePath.ORDER.value}',
            data=orjson.dumps(body),
            headers={
                'Content-Type': 'application/json',
                Header.EXPECT_INSTANCE.value: instance,
            },
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            return _OUTCOMES.get(response.status, OrderOutcome.UNKNOWN)
    except aiohttp.ClientConnectorError:
        return OrderOutcome.REFUSED
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
        return OrderOutcome.UNKNOWN


def _report_from(body: bytes) -> EngineReport:
    table = as_table(orjson.loads(body), 'report')
    return EngineReport(
        weights=weights_from_models(table),
        is_loading=get_flag(table, 'busy', default=False),
        order_count=get_whole(table, 'sequence', 0),
        running=get_whole(table, 'running', 0),
        waiting=get_whole(table, 'waiting', 0),
    )
