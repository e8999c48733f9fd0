"""Encode and decode what the VMs of the system write for each other."""

from collections.abc import Mapping
from typing import Any

import orjson
from result import Result

from arbutusbay.errors import Failure
from arbutusbay.fleet import LeaseClaim, VMRecord
from arbutusbay.platform._documents import decode_document
from arbutusbay.platform._fields import get_text, get_whole
from arbutusbay.platform._settings_file import endpoint_from_text

_VM_PREFIX = 'vm/'
_LEASE_PREFIX = 'lease/'

CoordinationDocument = VMRecord | LeaseClaim


def coordination_document_from_record(
    key: str,
    payload: bytes,
) -> Result[CoordinationDocument | None, Failure]:
    """Return what a VM of the system wrote; None for other keys."""
    return decode_document(key, payload, _coordination_document)


def record_from_vm(vm: VMRecord) -> tuple[str, bytes]:
    """Return key and value that announce ``vm``."""
    fields = {
        'address': vm.address,
        'zone': vm.zone,
        'started_ms': vm.started_ms,
    }
    return f'{_VM_PREFIX}{vm.name}', orjson.dumps(fields)


def record_from_claim(claim: LeaseClaim) -> tuple[str, bytes]:
    """Return key and value of a lease claim."""
    fields = {'holder': claim.holder, 'round': claim.round}
    return f'{_LEASE_PREFIX}{claim.name}', orjson.dumps(fields)


def _coordination_document(
    key: str,
    table: Mapping[str, Any],
) -> CoordinationDocument | None:
    if key.startswith(_VM_PREFIX):
        address = get_text(table, 'address')
        endpoint_from_text(address)
        return VMRecord(
            name=key.removeprefix(_VM_PREFIX),
            address=address,
            zone=get_text(table, 'zone'),
            started_ms=get_whole(table, 'started_ms'),
        )
    if key.startswith(_LEASE_PREFIX):
        return LeaseClaim(
            name=key.removeprefix(_LEASE_PREFIX),
            holder=get_text(table, 'holder'),
            round=get_whole(table, 'round'),
        )
    return None
