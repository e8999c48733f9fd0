"""Call engines: read their reports and order them to load weights."""

import asyncio
import enum
from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Any

import aiohttp
import attrs
import orjson
from result import Err, Ok, Result

from arbutusbay.checked_values import require_mapping
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.platform._field_validation import (
    get_boolean,
    get_integer,
)
from arbutusbay.platform._operator_records import parse_weights_versions
from arbutusbay.platform._protocol_names import EngineEndpoint, HeaderName
from arbutusbay.responses import fetch_whole

_MAX_REPORT_BYTES = 1_048_576


class WeightsSwitchMode(enum.StrEnum):
    """Select what an engine does with its streams when it switches weights.

    ``FINISH_STREAMS`` lets them finish before the switch, ``TERMINATE_STREAMS``
    terminates them, ``CONTINUE_STREAMS`` continues them on the new weights.
    """

    FINISH_STREAMS = 'wait'
    TERMINATE_STREAMS = 'terminate'
    CONTINUE_STREAMS = 'retain'


class LoadOrderResult(enum.StrEnum):
    """Classify the result of an order to load weights.

    ``ALREADY_DONE`` means that the engine has the version already,
    ``BUSY_OR_CHANGED`` that it is loading or its count of accepted orders is
    not the expected one, ``FENCED`` that it has seen a higher fencing token.
    ``REFUSED`` also covers an order that was not sent because no connection
    was made. After ``UNKNOWN`` the engine may still execute the order.
    """

    ACCEPTED = 'accepted'
    ALREADY_DONE = 'already_done'
    BUSY_OR_CHANGED = 'busy_or_changed'
    FENCED = 'fenced'
    INSTANCE_MISMATCH = 'other_incarnation'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


_RESULTS_BY_STATUS: Mapping[int, LoadOrderResult] = MappingProxyType(
    {
        200: LoadOrderResult.ALREADY_DONE,
        202: LoadOrderResult.ACCEPTED,
        409: LoadOrderResult.BUSY_OR_CHANGED,
        412: LoadOrderResult.FENCED,
        421: LoadOrderResult.INSTANCE_MISMATCH,
        400: LoadOrderResult.REFUSED,
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
    is_loading_weights: bool
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
    mode: WeightsSwitchMode
    holder: str
    fence: int
    expected_orders: int | None


async def fetch_engine_report(
    session: aiohttp.ClientSession,
    address: str,
    *,
    timeout_s: float,
) -> Result[EngineReport, Failure]:
    """Fetch the report of the engine at ``address`` (IP:PORT).

    Return a failure of kind ``PEER_UNREACHABLE`` if the call fails, its
    status is not 200 or the report is malformed.
    """
    call = session.get(
        f'http://{address}{EngineEndpoint.REPORT.value}',
        timeout=aiohttp.ClientTimeout(total=timeout_s),
    )
    match await fetch_whole(call, _MAX_REPORT_BYTES):
        case Err(missing):
            return _no_report(missing.detail)
        case Ok(response) if response.status != HTTPStatus.OK:
            return _no_report(f'status {response.status}')
        case Ok(response):
            pass
    try:
        return Ok(_parse_report(response.body))
    except ValueError as error:
        return _no_report(repr(error))


async def call_cache_store(
    session: aiohttp.ClientSession, address: str, *, timeout_s: float
) -> bool:
    """Return whether the store of KV cache at ``address`` answers at all."""
    try:
        async with session.get(
            f'http://{address}{EngineEndpoint.REPORT.value}',
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ):
            return True
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
        return False


async def send_load_order(
    session: aiohttp.ClientSession,
    address: str,
    instance: str,
    order: LoadOrder,
    *,
    timeout_s: float,
) -> LoadOrderResult:
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
            f'http://{address}{EngineEndpoint.ORDER.value}',
            data=orjson.dumps(body),
            headers={
                'Content-Type': 'application/json',
                HeaderName.EXPECT_INSTANCE.value: instance,
            },
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            return _RESULTS_BY_STATUS.get(
                response.status, LoadOrderResult.UNKNOWN
            )
    except aiohttp.ClientConnectorError:
        return LoadOrderResult.REFUSED
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
        return LoadOrderResult.UNKNOWN


def _no_report(detail: str) -> Err[Failure]:
    return Err(Failure(kind=ErrorKind.PEER_UNREACHABLE, detail=detail))


def _parse_report(body: bytes) -> EngineReport:
    fields = require_mapping(orjson.loads(body), 'report')
    return EngineReport(
        weights=parse_weights_versions(fields),
        is_loading_weights=get_boolean(fields, 'busy', default=False),
        order_count=get_integer(fields, 'sequence', 0),
        running=get_integer(fields, 'running', 0),
        waiting=get_integer(fields, 'waiting', 0),
    )
