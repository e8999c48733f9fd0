"""Parse and build the HTTP headers of requests and responses.

Client requests lose the headers that only this system may set, and responses
lose those that are meant for this system only.
"""

import re
from collections.abc import Iterable, Mapping

import attrs
from multidict import CIMultiDict

from arbutusbay.checked_values import MAX_INTEGER
from arbutusbay.platform._protocol_names import BEARER_PREFIX, HeaderName

# Hop-by-hop headers, and content-length, which aiohttp computes anew.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
_RESERVED_REQUEST_HEADERS = frozenset(
    header.lower()
    for header in (
        HeaderName.AUTHORIZATION,
        HeaderName.CACHE_SALT,
        HeaderName.DEADLINE_MS,
        HeaderName.EXPECT_INSTANCE,
        HeaderName.EXPECT_VERSION,
        HeaderName.HOLD,
        HeaderName.KV_BACKUP,
        HeaderName.KV_FETCH,
        HeaderName.KV_FROM,
        HeaderName.KV_SAVE,
        HeaderName.PIN_MS,
        HeaderName.REQUEST_PRIORITY,
        HeaderName.TENANT,
        'expect',
    )
)
_DROPPED_RESPONSE_HEADERS = frozenset(
    header.lower()
    for header in (
        HeaderName.SERVER_LEAVING,
        HeaderName.SERVER_LOAD,
        HeaderName.INSTANCE_ID,
        HeaderName.NOT_EXECUTED,
        'date',
        'server',
    )
)
_CONTENT_ENCODING = 'Content-Encoding'
_IS_SET = '1'
_REQUIRED_LOAD_FIELDS = 3
_NO_SLOWDOWN_PERCENT = 100
# The sum over all requests at work on a VM fits its reports.
_MAX_TOKENS = 10_000_000
_TOKENS_PATTERN = re.compile('[0-9]{1,15}')


@attrs.frozen(kw_only=True)
class PromptSegment:
    """Identify one part of a prompt and its length in tokens."""

    id: str
    tokens: int


@attrs.frozen(kw_only=True)
class RequestHead:
    """Hold the parsed headers of a client's request.

    ``time_to_deadline_s`` is the time in seconds from arrival to the deadline,
    None if the client set no deadline. Token counts are 0 and
    ``prompt_segments`` is empty if the request is not for a model;
    ``counted_tokens`` is None if it does not tell how many it takes.
    ``last_event_id`` is 0 unless the client resumes a stream.
    """

    attempt_id: str
    api_key: str | None
    time_to_deadline_s: float | None
    model: str
    prompt_tokens: int
    max_output_tokens: int
    prompt_segments: tuple[PromptSegment, ...]
    last_event_id: int
    counted_tokens: int | None = None

    @property
    def shared_segments(self) -> tuple[PromptSegment, ...]:
        """Return all segments but the last, which no other request shares."""
        return self.prompt_segments[:-1]


@attrs.frozen(kw_only=True)
class EngineLoad:
    """Describe the load that an engine reports with a response.

    ``running`` and ``waiting`` count requests. ``slowdown`` is the factor
    by which its machine is slower than usual, 1 at the usual speed.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float


@attrs.frozen(kw_only=True)
class AttemptHeaders:
    """Hold the values that the router sends as headers of one attempt.

    ``instance`` is the instance id that the backend server must have,
    ``time_to_deadline_s`` the time in seconds until the request's deadline.
    ``weights_version`` and ``priority`` are sent for models only.
    ``kv_fetch_address`` and ``kv_save_address`` are addresses of KV cache
    stores. ``resume_after_event_id`` is the id of the last event that the
    client has. Empty strings and a ``resume_after_event_id`` of 0 are not sent.
    """

    instance: str
    time_to_deadline_s: float
    team: str
    priority: int
    weights_version: int | None = None
    cache_salt: str = ''
    kv_fetch_address: str = ''
    kv_save_address: str = ''
    resume_after_event_id: int = 0


@attrs.frozen(kw_only=True)
class ResponseHead:
    """Hold the parsed headers of a backend server's response.

    ``has_response_stamp`` means that the header ``Response-Stamp`` is present,
    ``is_not_executed`` that the request was not executed. ``instance`` is the
    instance id of the backend server that answered, empty if it is missing.
    ``has_content_encoding`` means that the header ``Content-Encoding`` is
    present; the body is then not as the backend server made it.
    ``is_leaving`` means that the server shuts down soon. ``retry_after_s`` is
    for how long, in seconds, the server wants no further request of this VM;
    None if it names no such time.
    """

    attempt_id: str
    has_response_stamp: bool
    is_not_executed: bool
    instance: str
    has_content_encoding: bool
    load: EngineLoad | None
    weights_version: int | None
    is_leaving: bool = False
    retry_after_s: float | None = None


def parse_request_head(headers: Mapping[str, str]) -> RequestHead:
    """Parse a client's headers; ignore malformed numbers."""
    token_counts = headers.get(HeaderName.TOKEN_COUNTS, '')
    prompt, _, output = token_counts.partition(',')
    deadline_ms = _parse_number(headers.get(HeaderName.DEADLINE_MS, ''))
    return RequestHead(
        attempt_id=headers.get(HeaderName.ATTEMPT_ID, ''),
        api_key=_parse_api_key(headers.get(HeaderName.AUTHORIZATION, '')),
        time_to_deadline_s=None if deadline_ms is None else deadline_ms / 1000,
        model=_parse_text(headers.get(HeaderName.MODEL, '')),
        prompt_tokens=_parse_tokens(prompt),
        max_output_tokens=_parse_tokens(output),
        prompt_segments=_parse_prompt_segments(
            headers.get(HeaderName.PROMPT_PREFIX, '')
        ),
        last_event_id=int(
            _parse_number(headers.get(HeaderName.LAST_EVENT_ID, '')) or 0
        ),
        counted_tokens=_count_tokens(prompt, output),
    )


def build_backend_headers(
    raw_headers: Iterable[tuple[str, str]],
    attempt_headers: AttemptHeaders,
) -> CIMultiDict[str]:
    """Return the headers of one attempt for a backend server.

    These are the client's headers, except hop-by-hop headers and those
    reserved for this system, and the headers from ``attempt_headers``.
    """
    forwarded = CIMultiDict(raw_headers)
    dropped = {
        option.strip().lower()
        for field in forwarded.getall('connection', ())
        for option in field.split(',')
    }
    dropped |= _HOP_BY_HOP_HEADERS | _RESERVED_REQUEST_HEADERS
    for name in {name.lower() for name in forwarded} & dropped:
        forwarded.popall(name)
    forwarded[HeaderName.DEADLINE_MS] = str(
        int(attempt_headers.time_to_deadline_s * 1000)
    )
    forwarded[HeaderName.EXPECT_INSTANCE] = attempt_headers.instance
    optional = {
        HeaderName.TENANT: attempt_headers.team,
        HeaderName.CACHE_SALT: attempt_headers.cache_salt,
        HeaderName.KV_FETCH: attempt_headers.kv_fetch_address,
        HeaderName.KV_SAVE: attempt_headers.kv_save_address,
    }
    for name, text in optional.items():
        if text:
            forwarded[name] = text
    if attempt_headers.weights_version is not None:
        forwarded[HeaderName.EXPECT_VERSION] = str(
            attempt_headers.weights_version
        )
        forwarded[HeaderName.REQUEST_PRIORITY] = str(attempt_headers.priority)
    if attempt_headers.resume_after_event_id:
        forwarded[HeaderName.LAST_EVENT_ID] = str(
            attempt_headers.resume_after_event_id
        )
    return forwarded


def build_client_headers(
    headers: Iterable[tuple[str, str]],
) -> CIMultiDict[str]:
    """Return a backend server's response headers for the client.

    Hop-by-hop headers, those meant for this system only and those that
    aiohttp sets itself are left out.
    """
    dropped = _HOP_BY_HOP_HEADERS | _DROPPED_RESPONSE_HEADERS
    return CIMultiDict(
        (name, text) for name, text in headers if name.lower() not in dropped
    )


def parse_response_head(headers: Mapping[str, str]) -> ResponseHead:
    """Parse a backend server's headers; ignore malformed numbers."""
    version = _parse_number(headers.get(HeaderName.WEIGHT_VERSIONS, ''))
    return ResponseHead(
        attempt_id=headers.get(HeaderName.ATTEMPT_ID, ''),
        has_response_stamp=HeaderName.RESPONSE_STAMP in headers,
        is_not_executed=HeaderName.NOT_EXECUTED in headers,
        instance=headers.get(HeaderName.INSTANCE_ID, ''),
        has_content_encoding=_CONTENT_ENCODING in headers,
        load=_parse_load(headers.get(HeaderName.SERVER_LOAD, '')),
        weights_version=None if version is None else int(version),
        is_leaving=headers.get(HeaderName.SERVER_LEAVING, '') == _IS_SET,
        retry_after_s=_parse_number(headers.get(HeaderName.RETRY_AFTER, '')),
    )


def get_attempt_id(headers: Mapping[str, str]) -> str:
    """Return the id of the client's attempt, empty if it is missing."""
    return headers.get(HeaderName.ATTEMPT_ID, '')


def build_refusal_headers(
    attempt_id: str,
    retry_after_s: float | None,
) -> dict[str, str]:
    """Return the headers of a refusal.

    They hold the attempt's id and, unless ``retry_after_s`` is None, the
    seconds after which the client may retry.
    """
    headers = {HeaderName.ATTEMPT_ID.value: attempt_id}
    if retry_after_s is not None:
        headers[HeaderName.RETRY_AFTER.value] = f'{retry_after_s:.2f}'
    return headers


def _parse_api_key(authorization: str) -> str | None:
    if authorization.startswith(BEARER_PREFIX):
        return authorization.removeprefix(BEARER_PREFIX)
    return None


def _parse_prompt_segments(text: str) -> tuple[PromptSegment, ...]:
    segments: list[PromptSegment] = []
    for entry in text.split(','):
        name, _, tokens = entry.strip().partition(':')
        if _parse_text(name) and _TOKENS_PATTERN.fullmatch(tokens):
            segments.append(
                PromptSegment(id=name, tokens=_parse_tokens(tokens))
            )
    return tuple(segments)


def _parse_text(text: str) -> str:
    """Return ``text``, empty if it has bytes that are no UTF-8.

    Reports to other VMs could not hold it.
    """
    return text if text.isprintable() else ''


def _parse_tokens(text: str) -> int:
    return int(min(_parse_number(text) or 0, _MAX_TOKENS))


def _count_tokens(prompt: str, output: str) -> int | None:
    """Return the sum of both numbers, None if one is missing or malformed."""
    if _parse_number(prompt) is None or _parse_number(output) is None:
        return None
    return _parse_tokens(prompt) + _parse_tokens(output)


def _parse_load(text: str) -> EngineLoad | None:
    fields = [_parse_number(field) for field in text.split(',')]
    if len(fields) < _REQUIRED_LOAD_FIELDS or None in fields:
        return None
    percent = (
        fields[_REQUIRED_LOAD_FIELDS]
        if len(fields) > _REQUIRED_LOAD_FIELDS
        else None
    )
    return EngineLoad(
        running=int(fields[0] or 0),
        waiting=int(fields[1] or 0),
        slots=int(fields[2] or 0),
        slowdown=(percent or _NO_SLOWDOWN_PERCENT) / _NO_SLOWDOWN_PERCENT,
    )


def _parse_number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number <= MAX_INTEGER else None
