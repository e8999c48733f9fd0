"""Fold lease records, in log order and by the log's own clock."""

from typing import Any

import attrs
import orjson
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure


@attrs.frozen(kw_only=True)
class LeaseRecord:
    """Ask for a lease, or renew it, for ``ttl_ms`` from the log's time."""

    name: str
    holder: str
    ttl_ms: int


@attrs.frozen(kw_only=True)
class Lease:
    """Hold a lease; ``fence`` is the offset of the record that won it."""

    holder: str
    fence: int
    expires_ms: int


def apply_lease(
    lease: Lease | None,
    offset: int,
    time_ms: int,
    record: LeaseRecord,
) -> Lease:
    """Return the lease after ``record``, appended at the log's ``time_ms``.

    The holder's own record renews and keeps the fencing number; another's
    wins only after the lease ran out.
    """
    expires_ms = time_ms + record.ttl_ms
    if lease is None or time_ms >= lease.expires_ms:
        return Lease(
            holder=record.holder,
            fence=offset,
            expires_ms=expires_ms,
        )
    if lease.holder == record.holder:
        return attrs.evolve(lease, expires_ms=expires_ms)
    return lease


def lease_to_bytes(record: LeaseRecord) -> bytes:
    """Return ``record`` as JSON for the platform's log."""
    return orjson.dumps(attrs.asdict(record))


def lease_from_bytes(payload: bytes) -> Result[LeaseRecord, Failure]:
    """Return the lease record in ``payload``, or ``BAD_MESSAGE``."""
    try:
        return Ok(_lease_from_json(orjson.loads(payload)))
    except (ValueError, KeyError, TypeError) as error:
        return Err(
            Failure(
                kind=ErrorKind.BAD_MESSAGE,
                detail=f'lease record: {error!r}',
            ),
        )


def _lease_from_json(fields: dict[str, Any]) -> LeaseRecord:
    return LeaseRecord(
        name=str(fields['name']),
        holder=str(fields['holder']),
        ttl_ms=int(fields['ttl_ms']),
    )
