"""Encode and decode the records of the coordination topic.

VMs of this system register themselves and claim leases there.
"""

from collections.abc import Mapping
from typing import Any

import attrs
import orjson
from result import Result

from arbutusbay.errors import Failure
from arbutusbay.fleet import LeaseClaim, VMRegistration
from arbutusbay.platform._endpoints import parse_remote_endpoint
from arbutusbay.platform._field_validation import (
    get_boolean,
    get_integer,
    get_string,
)
from arbutusbay.platform._operator_records import decode_json_object
from arbutusbay.quarantine import SegmentKey, Verdict

_VM_KEY_PREFIX = 'vm/'
_LEASE_KEY_PREFIX = 'lease/'

_VERDICT_KEY_PREFIX = 'quarantine/'


@attrs.frozen(kw_only=True)
class VerdictRecord:
    """Hold the verdict about a prompt segment as it is stored.

    ``changed_ms`` is the time of its last change in milliseconds since the
    epoch, which replaces that in ``verdict``.
    """

    key: SegmentKey
    verdict: Verdict
    changed_ms: int


CoordinationRecord = VMRegistration | LeaseClaim | VerdictRecord


def decode_coordination_record(
    key: str,
    payload: bytes,
) -> Result[CoordinationRecord | None, Failure]:
    """Decode a record of the coordination topic.

    Return the VM record, lease claim or verdict, None for a key of another
    kind, or a failure of kind ``BAD_MESSAGE`` if the payload is malformed.
    """
    return decode_json_object(key, payload, _parse_coordination_document)


def encode_vm_record(vm: VMRegistration) -> tuple[str, bytes]:
    """Return the key and the JSON payload of the record of ``vm``."""
    fields = {
        'address': vm.address,
        'zone': vm.zone,
        'started_ms': vm.started_ms,
    }
    return vm_record_key(vm.name), orjson.dumps(fields)


def vm_record_key(name: str) -> str:
    """Return the key of the record of the VM ``name``."""
    return f'{_VM_KEY_PREFIX}{name}'


def encode_lease_claim(claim: LeaseClaim) -> tuple[str, bytes]:
    """Return the key and the JSON payload of the record of ``claim``."""
    fields = {'holder': claim.holder, 'round': claim.claim_number}
    return f'{_LEASE_KEY_PREFIX}{claim.name}', orjson.dumps(fields)


def verdict_record_key(key: SegmentKey, revision: int) -> str:
    """Return the key of the record of a verdict.

    Each revision has its own, so that a late write replaces no newer one.
    """
    return f'{_VERDICT_KEY_PREFIX}{key.model}/{key.segment}/{revision}'


def encode_verdict(record: VerdictRecord) -> tuple[str, bytes]:
    """Return the key and the JSON payload of the record of a verdict."""
    verdict = record.verdict
    fields = {
        'model': record.key.model,
        'segment': record.key.segment,
        'revision': verdict.revision,
        'is_quarantined': verdict.is_quarantined,
        'probes': verdict.probes,
        'weights_version': verdict.weights_version,
        'changed_ms': record.changed_ms,
    }
    name = verdict_record_key(record.key, verdict.revision)
    return name, orjson.dumps(fields)


def _parse_coordination_document(
    key: str,
    fields: Mapping[str, Any],
) -> CoordinationRecord | None:
    if key.startswith(_VM_KEY_PREFIX):
        address = get_string(fields, 'address')
        parse_remote_endpoint(address)
        return VMRegistration(
            name=key.removeprefix(_VM_KEY_PREFIX),
            address=address,
            zone=get_string(fields, 'zone'),
            started_ms=get_integer(fields, 'started_ms'),
        )
    if key.startswith(_LEASE_KEY_PREFIX):
        return LeaseClaim(
            name=key.removeprefix(_LEASE_KEY_PREFIX),
            holder=get_string(fields, 'holder'),
            claim_number=get_integer(fields, 'round'),
        )
    if key.startswith(_VERDICT_KEY_PREFIX):
        return _parse_verdict(fields)
    return None


def _parse_verdict(fields: Mapping[str, Any]) -> VerdictRecord:
    return VerdictRecord(
        key=SegmentKey(
            model=get_string(fields, 'model'),
            segment=get_string(fields, 'segment'),
        ),
        verdict=Verdict(
            revision=get_integer(fields, 'revision'),
            is_quarantined=get_boolean(fields, 'is_quarantined', default=None),
            changed_s=0.0,
            probes=get_integer(fields, 'probes'),
            weights_version=get_integer(fields, 'weights_version'),
        ),
        changed_ms=get_integer(fields, 'changed_ms'),
    )
