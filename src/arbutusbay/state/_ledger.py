"""Fold the ledger records of one idempotency key, in log order.

The first claim that is not abandoned holds the key. Only its attempt may send
the request, and only once. Claims don't time out: only an ``Abandon`` of the
claiming attempt itself releases a claim.
"""

import base64
from collections.abc import Iterable
from typing import Any

import attrs
import orjson
from result import Err, Ok, Result

from arbutusbay.checked_values import (
    describe_value,
    require_integer,
    require_text,
)
from arbutusbay.errors import ErrorKind, Failure

MAX_STORED_BODY_BYTES = 4096
_LOWEST_STATUS = 100
_HIGHEST_STATUS = 599


@attrs.frozen(kw_only=True)
class Claim:
    """Claim ``key`` for the attempt ``nonce``.

    ``fingerprint`` is a digest of the request. It serves to reject another
    request that reuses the key.
    """

    key: str
    nonce: str
    fingerprint: str = ''


@attrs.frozen(kw_only=True)
class Abandon:
    """Declare that attempt ``nonce`` was not sent and never will be."""

    key: str
    nonce: str


@attrs.frozen(kw_only=True)
class Outcome:
    """Record the backend server's response to attempt ``nonce``."""

    key: str
    nonce: str
    status: int
    content_type: str
    body: bytes


LedgerRecord = Claim | Abandon | Outcome


@attrs.frozen(kw_only=True)
class KeyState:
    """Hold the state of one idempotency key.

    ``claimant`` and ``abandoned`` are nonces of attempts; ``claimant`` is
    None while nothing holds the claim.
    """

    claimant: str | None = None
    fingerprint: str = ''
    abandoned: frozenset[str] = frozenset()
    outcome: Outcome | None = None


EMPTY_KEY_STATE = KeyState()


def apply_ledger_record(entry: KeyState, record: LedgerRecord) -> KeyState:
    """Return the state of the key after ``record``.

    A record that is not valid in the current state changes nothing.
    """
    match record:
        case Claim():
            return _apply_claim(entry, record)
        case Abandon():
            return _apply_abandon(entry, record)
        case Outcome():
            return _apply_outcome(entry, record)


def holds_open_claim(entry: KeyState, nonce: str) -> bool:
    """Return whether attempt ``nonce`` holds a claim without an outcome."""
    return entry.claimant == nonce and entry.outcome is None


def encode_ledger_batch(records: Iterable[LedgerRecord]) -> bytes:
    """Encode ``records`` as one log record, written as a group commit."""
    return orjson.dumps([_record_to_json(record) for record in records])


def decode_ledger_batch(
    payload: bytes,
) -> Result[list[LedgerRecord], Failure]:
    """Decode the records of one group commit; fail with ``BAD_MESSAGE``."""
    try:
        return Ok(
            [_record_from_json(fields) for fields in orjson.loads(payload)]
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(
            Failure(
                kind=ErrorKind.BAD_MESSAGE,
                detail=f'malformed ledger record: {error!r}',
            ),
        )


def _apply_claim(entry: KeyState, record: Claim) -> KeyState:
    if entry.claimant is not None or record.nonce in entry.abandoned:
        return entry
    return attrs.evolve(
        entry,
        claimant=record.nonce,
        fingerprint=record.fingerprint,
    )


def _apply_abandon(entry: KeyState, record: Abandon) -> KeyState:
    abandoned = entry.abandoned | {record.nonce}
    if holds_open_claim(entry, record.nonce):
        return attrs.evolve(entry, claimant=None, abandoned=abandoned)
    return attrs.evolve(entry, abandoned=abandoned)


def _apply_outcome(entry: KeyState, record: Outcome) -> KeyState:
    if not holds_open_claim(entry, record.nonce):
        return entry
    return attrs.evolve(entry, outcome=record)


def _record_to_json(record: LedgerRecord) -> dict[str, Any]:
    match record:
        case Claim():
            return {
                'type': 'claim',
                'key': record.key,
                'nonce': record.nonce,
                'fingerprint': record.fingerprint,
            }
        case Abandon():
            return {
                'type': 'abandon',
                'key': record.key,
                'nonce': record.nonce,
            }
        case Outcome():
            return {
                'type': 'outcome',
                'key': record.key,
                'nonce': record.nonce,
                'status': record.status,
                'content_type': record.content_type,
                'body': base64.b64encode(record.body).decode(),
            }


def _record_from_json(fields: dict[str, Any]) -> LedgerRecord:
    key = require_text(fields['key'], 'key')
    nonce = require_text(fields['nonce'], 'nonce')
    match fields['type']:
        case 'claim':
            return Claim(
                key=key,
                nonce=nonce,
                fingerprint=require_text(fields['fingerprint'], 'fingerprint'),
            )
        case 'abandon':
            return Abandon(key=key, nonce=nonce)
        case 'outcome':
            return Outcome(
                key=key,
                nonce=nonce,
                status=require_integer(
                    fields['status'],
                    'status',
                    lowest=_LOWEST_STATUS,
                    highest=_HIGHEST_STATUS,
                ),
                content_type=require_text(
                    fields['content_type'], 'content_type'
                ),
                body=base64.b64decode(fields['body']),
            )
        case other:
            raise ValueError(f'unknown record type: {describe_value(other)}')
