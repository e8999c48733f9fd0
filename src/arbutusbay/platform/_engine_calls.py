"""Call engines: read their reports and order loads of weights."""

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
    """Select what an engine does with running streams during a load.

    ``FINISH_FIRST`` lets them finish before the switch, ``RESET``
    terminates them, ``RUN_ON`` continues them on the new weights.
    """

    FINISH_FIRST = 'wait'
    RESET = 'terminate'
    RUN_ON = 'retain'


class OrderOutcome(enum.StrEnum):
    """Classify the result of a load order.

    ``BUSY_OR_CHANGED`` means that the engine is loading or has accepted
    another order in between, ``FENCED`` that it has seen a higher fencing
    token. After ``UNKNOWN`` the engine may still carry the order out.
    """

    ACCEPTED = 'accepted'
    ALREADY_DONE = 'already_done'
    BUSY_OR_CHANGED = 'busy_or_changed'
    FENCED = 'fenced'
    OTHER_INCARNATION = 'other_incarnation'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


_OUTCOMES_BY_STATUS: Mapping[int, OrderOutcome] = MappingProxyType(
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
    """Describe the state that an engine reports.

    ``weights`` maps models to the loaded version. ``order_count`` counts
    the orders accepted since the engine started; ``running`` and
    ``waiting`` count requests.
    """

    weights: Mapping[str, int]
    is_loading: bool
    order_count: int
    running: int
    waiting: int


@attrs.frozen(kw_only=True)
class LoadOrder:
    """Describe an order to load a weights version.

    ``fence`` is the fencing token of the lease held by ``holder``. The
    engine refuses the order if its count of accepted orders differs from
    ``expected_orders``; None skips this check.
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
    """Fetch the report of the engine at ``address`` (IP:PORT).

    Return a failure of kind ``PEER_UNREACHABLE`` if the call fails or the
    report is malformed.
    """
    try:
        async with session.get(
            f'http://{address}{EnginePath.REPORT.value}',
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            return Ok(_parse_report(await response.read()))
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
    """Send ``order`` to the engine at ``address`` (IP:PORT).

    The engine refuses it unless its instance id is ``instance``. Return
    ``REFUSED`` if no connection was made and ``UNKNOWN`` if the order was
    sent but no known status came back.
    """
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
            return _OUTCOMES_BY_STATUS.get(
                response.status, OrderOutcome.UNKNOWN
            )
    except aiohttp.ClientConnectorError:
        return OrderOutcome.REFUSED
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
        return OrderOutcome.UNKNOWN


def _parse_report(body: bytes) -> EngineReport:
    fields = as_table(orjson.loads(body), 'report')
    return EngineReport(
        weights=weights_from_models(fields),
        is_loading=get_flag(fields, 'busy', default=False),
        order_count=get_whole(fields, 'sequence', 0),
        running=get_whole(fields, 'running', 0),
        waiting=get_whole(fields, 'waiting', 0),
    )
