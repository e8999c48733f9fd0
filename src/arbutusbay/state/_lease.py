"""Fold lease records, in log order, into the current lease.

Expiry depends on the log's append timestamps only, so every process derives
the same lease.
"""

from typing import Any

import attrs
import orjson
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure


@attrs.frozen(kw_only=True)
class LeaseRecord:
    """Acquire or renew a lease for ``ttl_ms`` from the append timestamp."""

    name: str
    holder: str
    ttl_ms: int


@attrs.frozen(kw_only=True)
class Lease:
    """Hold a lease.

    ``fence`` is the fencing token: the offset of the record that acquired
    the lease. ``expires_ms`` is on the clock of the log's append timestamps.
    """

    holder: str
    fence: int
    expires_ms: int


def apply_lease_record(
    lease: Lease | None,
    offset: int,
    time_ms: int,
    record: LeaseRecord,
) -> Lease:
    """Return the lease after ``record``, appended at ``time_ms``.

    A record of the holder renews the lease and keeps its fencing token. A
    record of another process has no effect until the lease has expired.
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


def encode_lease_record(record: LeaseRecord) -> bytes:
    """Encode ``record`` as JSON for the platform's log."""
    return orjson.dumps(attrs.asdict(record))


def decode_lease_record(payload: bytes) -> Result[LeaseRecord, Failure]:
    """Decode the lease record in ``payload``; fail with ``BAD_MESSAGE``."""
    try:
        return Ok(_lease_from_json(orjson.loads(payload)))
    except (ValueError, KeyError, TypeError) as error:
        return Err(
            Failure(
                kind=ErrorKind.BAD_MESSAGE,
                detail=f'malformed lease record: {error!r}',
            ),
        )


def _lease_from_json(fields: dict[str, Any]) -> LeaseRecord:
    return LeaseRecord(
        name=str(fields['name']),
        holder=str(fields['holder']),
        ttl_ms=int(fields['ttl_ms']),
    )
