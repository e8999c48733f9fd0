"""Check that one odd entry of the list of VMs hides no other VM."""

import json
from types import MappingProxyType

import pytest

from arbutusbay.hosting import VM, VMRole, VMState, decode_vm_list
from tests.fleet_builders import build_nested_json

ENTRY = MappingProxyType(
    {
        'id': 'vm-1',
        'host': '10.0.0.1',
        'zone': 'hann',
        'role': 'entry',
        'state': 'live',
    }
)
SOUND_VM = VM(
    id='vm-1',
    host='10.0.0.1',
    zone='hann',
    role=VMRole.ENTRY,
    state=VMState.LIVE,
)
ODD_ENTRIES = (
    '{}',
    '[]',
    'null',
    '7',
    json.dumps({**ENTRY, 'id': 7}),
    json.dumps({**ENTRY, 'host': None}),
    json.dumps({**ENTRY, 'role': 'spare'}),
    json.dumps({**ENTRY, 'state': ['live']}),
    json.dumps({**ENTRY, 'zone': 'NESTED'}).replace(
        '"NESTED"', build_nested_json(900)
    ),
)


# Guards against a list that is refused whole for one entry, so that VMs that
# leave go on to get work.
@pytest.mark.parametrize('odd', ODD_ENTRIES)
def test_odd_entry_is_left_out(odd):
    vm_list = decode_vm_list(f'[{odd},{json.dumps(dict(ENTRY))}]'.encode())
    assert vm_list.vms == (SOUND_VM,)
    assert len(vm_list.problems) == 1


@pytest.mark.parametrize('body', [b'', b'{', b'{}', b'null', b'\xff'])
def test_body_without_a_list_is_an_error(body):
    with pytest.raises(ValueError, match='.+'):
        decode_vm_list(body)
