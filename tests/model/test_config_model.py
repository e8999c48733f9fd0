"""Check the configuration and lease models exhaustively.

Dropping any rule of a protocol must violate one of its properties.
"""

import pytest
from minicheck import check_safety

from tests.model import config_spec, lease_spec

_MAX_STATES = 400_000
_MAX_MUTANT_STATES = 20_000  # a counterexample needs no exhaustive search


def _check_exhaustively(protocol) -> list[bool | None]:
    checked = check_safety(protocol, max_states=_MAX_STATES)
    if not checked['exhaustive']:
        pytest.fail(f'undetermined: {checked["incomplete_reason"]}')
    return [found['holds'] for found in checked['properties'].values()]


def _is_refuted(protocol) -> bool:
    checked = check_safety(protocol, max_states=_MAX_MUTANT_STATES)
    properties = checked['properties'].values()
    return any(found['holds'] is False for found in properties)


def test_configuration_holds():
    assert set(_check_exhaustively(config_spec.ConfigSpec().protocol())) == {
        True
    }


def test_lease_holds():
    assert set(_check_exhaustively(lease_spec.LeaseSpec().protocol())) == {True}


@pytest.mark.parametrize(
    'mutant',
    [mutant for mutant in config_spec.DroppedRule if mutant.value != 'none'],
)
def test_configuration_mutant_is_refuted(mutant):
    assert _is_refuted(config_spec.ConfigSpec(mutant=mutant).protocol())


@pytest.mark.parametrize(
    'mutant',
    [mutant for mutant in lease_spec.DroppedRule if mutant.value != 'none'],
)
def test_lease_mutant_is_refuted(mutant):
    assert _is_refuted(lease_spec.LeaseSpec(mutant=mutant).protocol())
