"""Encode and decode the records of the coordination topic.

VMs of this system announce themselves and claim leases there.
"""

from collections.abc import Mapping
from typing import Any

import orjson
from result import Result

from arbutusbay.errors import Failure
from arbutusbay.fleet import LeaseClaim, VMRecord
from arbutusbay.platform._documents import decode_document
from arbutusbay.platform._fields import get_text, get_whole
from arbutusbay.platform._settings_file import endpoint_from_text

_VM_KEY_PREFIX = 'vm/'
_LEASE_KEY_PREFIX = 'lease/'

CoordinationDocument = VMRecord | LeaseClaim


def coordination_document_from_record(
    key: str,
    payload: bytes,
) -> Result[CoordinationDocument | None, Failure]:
    """Decode a record of the coordination topic.

    Return the VM record or lease claim, None for a key of another kind, or
    a failure of kind ``BAD_MESSAGE`` if the payload is malformed.
    """
    return decode_document(key, payload, _parse_coordination_document)


def record_from_vm(vm: VMRecord) -> tuple[str, bytes]:
    """Return the key and the JSON payload of the record of ``vm``."""
    fields = {
        'address': vm.address,
        'zone': vm.zone,
        'started_ms': vm.started_ms,
    }
    return f'{_VM_KEY_PREFIX}{vm.name}', orjson.dumps(fields)


def record_from_claim(claim: LeaseClaim) -> tuple[str, bytes]:
    """Return the key and the JSON payload of the record of ``claim``."""
    fields = {'holder': claim.holder, 'round': claim.round}
    return f'{_LEASE_KEY_PREFIX}{claim.name}', orjson.dumps(fields)


def _parse_coordination_document(
    key: str,
    fields: Mapping[str, Any],
) -> CoordinationDocument | None:
    if key.startswith(_VM_KEY_PREFIX):
        address = get_text(fields, 'address')
        endpoint_from_text(address)
        return VMRecord(
            name=key.removeprefix(_VM_KEY_PREFIX),
            address=address,
            zone=get_text(fields, 'zone'),
            started_ms=get_whole(fields, 'started_ms'),
        )
    if key.startswith(_LEASE_KEY_PREFIX):
        return LeaseClaim(
            name=key.removeprefix(_LEASE_KEY_PREFIX),
            holder=get_text(fields, 'holder'),
            round=get_whole(fields, 'round'),
        )
    return None
