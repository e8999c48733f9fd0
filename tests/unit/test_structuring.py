"""Test which values the strict converter accepts."""

import attrs
import pytest

from arbutusbay.state import spec_from_json
from arbutusbay.structuring import format_structure_error, new_strict_converter

_DIGEST = 'a' * 64


@attrs.frozen(kw_only=True)
class Limits:
    """Hold one value of type float."""

    ratio: float


# Guards against settings that are silently read as another number: texts
# were parsed, and true was read as 1.
@pytest.mark.parametrize('raw', ['1.5', True, None, [1.0]])
def test_floats_are_not_converted_from_other_types(raw):
    with pytest.raises(Exception) as caught:
        new_strict_converter().structure({'ratio': raw}, Limits)
    reasons = format_structure_error(caught.value, 'settings')
    assert f'must be of type float, not {raw!r}' in reasons
    assert 'settings.ratio' in reasons


# Guards against refusing whole numbers, which files write without a point.
@pytest.mark.parametrize('raw', [2, 2.0])
def test_numbers_are_accepted_as_floats(raw):
    limits = new_strict_converter().structure({'ratio': raw}, Limits)
    assert isinstance(limits.ratio, float)
    assert limits.ratio == pytest.approx(2)


# Guards against a share of a team that its declaration does not hold.
@pytest.mark.parametrize('share', ['1.5', True])
def test_share_of_another_type_is_an_invalid_resource(share):
    fields = {'api_key_digests': [_DIGEST], 'share': share}
    assert 'team.share' in spec_from_json('team', fields).unwrap_err().detail
