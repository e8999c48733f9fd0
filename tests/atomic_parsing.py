"""Keep the garbage collector from running while a syntax tree is built.

CPython 3.11.6 counts the depth of all trees that are being built together. A
finalizer that raises has its traceback formatted, which builds another tree,
and the outer one fails with ``SystemError``. pytest loads this module as a
plugin before it rewrites any assertion.
"""

import ast
import contextlib
import functools
import gc
from collections.abc import Iterator

_parse = ast.parse


@contextlib.contextmanager
def paused_collection() -> Iterator[None]:
    """Pause the collector, unless it does not run anyway."""
    if not gc.isenabled():
        yield
        return
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


@functools.wraps(_parse)
def parse_atomically(*source: object, **options: object) -> ast.AST:
    """Do what ``ast.parse`` does without a collection meanwhile."""
    with paused_collection():
        return _parse(*source, **options)


ast.parse = parse_atomically
