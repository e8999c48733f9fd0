"""Check that each log line is JSON, whatever texts of requests it holds."""

import json

import pytest

from arbutusbay._logs import _line_from_fields


# Guards against a traceback in the place of a line of the log.
@pytest.mark.parametrize('odd', ['x\udcff', 2**70, {3: 'key'}])
def test_any_field_gives_a_line_of_json(odd):
    line = json.loads(_line_from_fields({'message': 'm', 'odd': odd, 'n': 1}))
    assert line['message'] == 'm'
    assert 'odd' in line
