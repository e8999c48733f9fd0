"""Parse a source while finalizers raise; fails if one breaks the parsing.

A test runs this as a program, as it changes the collector of its process.
"""

import ast
import gc
import sys
import traceback

import tests.atomic_parsing  # noqa: F401, WPS301

_COLLECTION_THRESHOLD = 500
_FINALIZERS = 5
_SOURCE = 'x = f(a, [1, (2, 3)])\n' * 3000


class RaisingFinalizer:
    """Raise when the collector finds the object, which refers to itself."""

    def __init__(self) -> None:
        """Form a cycle."""
        self.cycle = self

    def __del__(self) -> None:  # noqa: WPS603
        """Raise, in a line whose failing part is marked in a traceback."""
        self.missing.attribute + 1


def format_exception(unraisable) -> None:
    """Format the traceback of an exception, as pytest does."""
    traceback.format_exception(unraisable.exc_value)


if __name__ == '__main__':
    sys.unraisablehook = format_exception
    gc.set_threshold(_COLLECTION_THRESHOLD, 1, 1)
    gc.collect()
    for _ in range(_FINALIZERS):
        RaisingFinalizer()
    ast.parse(_SOURCE)
