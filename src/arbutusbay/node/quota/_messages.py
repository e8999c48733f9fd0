"""Encode and decode the messages about rate limits between VMs.

A datagram holds a type byte and a JSON list of messages, each a list whose
first element names its kind. The fields of its class follow in their order.
"""

from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Any

import attrs
import orjson
from result import Err, Ok, Result

from arbutusbay.checked_values import (
    MAX_INTEGER,
    MalformedValueError,
    require_boolean,
    require_count,
    require_list,
    require_number,
    require_text,
)
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.quota import (
    PARTITION_COUNT,
    AskedGrant,
    OfferedShare,
    QuotaRequest,
    QuotaTerms,
)

# Tells these datagrams from load reports, which are JSON objects.
DATAGRAM_TYPE = b'Q'
MAX_MESSAGES = 12
_MAX_NAME_LENGTH = 256
_MAX_LEASE_S = 60.0


@attrs.frozen(kw_only=True)
class Ask:
    """Ask the owner of a partition, and lend it the share of a VM.

    ``vm`` lends its share for ``lease_s`` seconds, 0 for no time, and with
    ``adds_start_credit`` gives its credit for a takeover. An empty ``team``
    asks for nothing else. ``cost``, ``key`` and ``patience_s`` are those of a
    ``QuotaRequest``. ``rate_per_s`` and ``burst`` are the limit of the team in
    the ``version`` of the configuration that the VM has. ``is_relayed`` means
    that another VM passed the ask on.
    """

    number: int
    vm: str
    partition: int
    lease_s: float
    adds_start_credit: bool
    team: str = ''
    cost: float = 0.0
    key: int = 0
    patience_s: float = 0.0
    version: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0
    is_relayed: bool = False


@attrs.frozen(kw_only=True)
class Reply:
    """Answer an ask or a release with the same number.

    ``retry_after_s`` is None if the ask was granted, infinity if it can't be.
    ``share`` is the part of the fleet that has lent its share to ``owner``.
    """

    number: int
    owner: str
    retry_after_s: float | None
    share: float


@attrs.frozen(kw_only=True)
class Forwarded:
    """Tell that an ask was passed on to the owner, and a reply will follow."""

    number: int


@attrs.frozen(kw_only=True)
class Release:
    """Ask an owner to release the share of a VM, which chose another one."""

    number: int
    vm: str
    partition: int


@attrs.frozen(kw_only=True)
class GiveBack:
    """Return the tokens of a request that certainly was not executed."""

    partition: int
    team: str
    cost: float


QuotaMessage = Ask | Reply | Forwarded | Release | GiveBack


def asked_grant(ask: Ask) -> AskedGrant:
    """Return what an ask offers and asks for."""
    return AskedGrant(
        vm=ask.vm,
        offered=OfferedShare(
            lease_s=ask.lease_s, adds_start_credit=ask.adds_start_credit
        ),
        team=ask.team,
        request=QuotaRequest(
            cost=ask.cost, key=ask.key, patience_s=ask.patience_s
        ),
        terms=QuotaTerms(
            version=ask.version, rate_per_s=ask.rate_per_s, burst=ask.burst
        ),
    )


def messages_to_bytes(messages: Iterable[QuotaMessage]) -> bytes:
    """Return a datagram with ``messages``."""
    return DATAGRAM_TYPE + orjson.dumps(
        [_message_to_fields(message) for message in messages]
    )


def messages_from_bytes(
    datagram: bytes,
) -> Result[list[QuotaMessage], Failure]:
    """Return the messages in ``datagram``, or a ``BAD_MESSAGE`` failure."""
    try:
        entries = require_list(orjson.loads(datagram[1:]), 'messages')
        return Ok([_message_from_fields(entry) for entry in entries])
    except (ValueError, TypeError, KeyError) as error:
        return Err(
            Failure(kind=ErrorKind.BAD_MESSAGE, detail=f'quota: {error!r}')
        )


def _message_to_fields(message: QuotaMessage) -> tuple[Any, ...]:
    match message:
        case Ask():
            return ('a', *attrs.astuple(message))
        case Reply(retry_after_s=wait_s):
            is_final = wait_s == float('inf')
            encoded = attrs.evolve(
                message, retry_after_s=-1 if is_final else wait_s
            )
            return ('y', *attrs.astuple(encoded))
        case Forwarded():
            return ('f', *attrs.astuple(message))
        case Release():
            return ('x', *attrs.astuple(message))
        case GiveBack():
            return ('b', *attrs.astuple(message))


def _message_from_fields(entry: Any) -> QuotaMessage:
    kind, *fields = require_list(entry, 'message')
    return _PARSERS[require_text(kind, 'kind')](*fields)


def _parse_ask(
    number: Any, vm: Any, partition: Any, lease_s: Any, *request: Any
) -> Ask:
    return Ask(
        number=require_count(number, 'number'),
        vm=_require_name(vm),
        partition=_require_partition(partition),
        lease_s=require_number(lease_s, 'lease_s', highest=_MAX_LEASE_S),
        **_parse_request(*request),
    )


def _parse_request(
    adds_credit: Any,
    team: Any,
    cost: Any,
    key: Any,
    patience_s: Any,
    *limit: Any,
) -> dict[str, Any]:
    return {
        'adds_start_credit': require_boolean(adds_credit, 'starts'),
        'team': _require_name(team),
        'cost': require_number(cost, 'cost'),
        'key': require_count(key, 'key'),
        'patience_s': require_number(patience_s, 'patience_s'),
        **_parse_limit(*limit),
    }


def _parse_limit(
    version: Any, rate_per_s: Any, burst: Any, is_relayed: Any
) -> dict[str, Any]:
    return {
        'version': require_count(version, 'version'),
        'rate_per_s': require_number(rate_per_s, 'rate_per_s'),
        'burst': require_number(burst, 'burst'),
        'is_relayed': require_boolean(is_relayed, 'is_relayed'),
    }


def _parse_reply(number: Any, owner: Any, wait_s: Any, share: Any) -> Reply:
    return Reply(
        number=require_count(number, 'number'),
        owner=_require_name(owner),
        retry_after_s=_parse_wait_s(wait_s),
        share=require_number(share, 'share', highest=1),
    )


def _parse_wait_s(wait_s: Any) -> float | None:
    if wait_s is None:
        return None
    if wait_s == -1:
        return float('inf')
    return require_number(wait_s, 'retry_after_s', highest=MAX_INTEGER)


def _parse_forwarded(number: Any) -> Forwarded:
    return Forwarded(number=require_count(number, 'number'))


def _parse_release(number: Any, vm: Any, partition: Any) -> Release:
    return Release(
        number=require_count(number, 'number'),
        vm=_require_name(vm),
        partition=_require_partition(partition),
    )


def _parse_give_back(partition: Any, team: Any, cost: Any) -> GiveBack:
    return GiveBack(
        partition=_require_partition(partition),
        team=_require_name(team),
        cost=require_number(cost, 'cost'),
    )


def _require_partition(found: Any) -> int:
    return require_count(found, 'partition', highest=PARTITION_COUNT - 1)


def _require_name(found: Any) -> str:
    name = require_text(found, 'name')
    if len(name) > _MAX_NAME_LENGTH:
        raise MalformedValueError(f'name: {len(name)} characters are too many')
    return name


_PARSERS: Mapping[str, Callable[..., QuotaMessage]] = MappingProxyType(
    {
        'a': _parse_ask,
        'y': _parse_reply,
        'f': _parse_forwarded,
        'x': _parse_release,
        'b': _parse_give_back,
    }
)
