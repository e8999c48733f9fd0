"""Check that a finalizer that raises does not break the parsing of sources."""

import subprocess
import sys


# Guards against a test run that ends at once in ``SystemError: AST constructor
# recursion depth mismatch``, because a finalizer raised at the wrong moment.
def test_raising_finalizer_does_not_break_parsing():
    parsing = subprocess.run(
        (sys.executable, '-m', 'tests.raising_finalizers'),
        capture_output=True,
        text=True,
        check=False,
    )
    assert (parsing.returncode, parsing.stderr) == (0, '')
