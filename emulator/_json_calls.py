"""Call servers with JSON and wait for conditions, without an event loop."""

import time
from collections.abc import Mapping
from typing import Any
from urllib import request as urllib_request

import orjson

START_TIMEOUT_S = 30.0
_POLL_S = 0.05


def call_json(
    url: str,
    body: Any = None,
    *,
    method: str | None = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 5.0,
) -> Any:
    """Send an HTTP request and return the decoded JSON of the response.

    Raises ``urllib.error.HTTPError`` for an error status, another ``OSError``
    if the server can't be reached and ``ValueError`` for invalid JSON.
    """
    payload = None if body is None else orjson.dumps(body)
    request = urllib_request.Request(
        url,
        data=payload,
        method=method,
        headers={'Content-Type': 'application/json', **(headers or {})},
    )
    with urllib_request.urlopen(request, timeout=timeout_s) as response:
        return orjson.loads(response.read())


def wait_for_ok(url: str) -> None:
    """Wait until a GET of ``url`` succeeds with a JSON body.

    Raises ``TimeoutError`` after ``START_TIMEOUT_S`` seconds.
    """
    wait_until(lambda: _is_ok(url))


def wait_until(condition: Any, timeout_s: float = START_TIMEOUT_S) -> None:
    """Poll ``condition`` until it is true.

    An ``OSError`` in the condition, as from a process that can't be reached,
    counts as false. Raises ``TimeoutError`` after ``timeout_s`` seconds.
    """
    deadline_s = time.monotonic() + timeout_s
    while not _is_true(condition):
        if time.monotonic() > deadline_s:
            raise TimeoutError('condition was still false at the timeout')
        time.sleep(_POLL_S)


def _is_true(condition: Any) -> bool:
    try:
        return bool(condition())
    except OSError:
        return False


def _is_ok(url: str) -> bool:
    try:
        call_json(url, timeout_s=1.0)
    except (OSError, ValueError):
        return False
    return True
