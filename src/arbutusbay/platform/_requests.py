"""Translate heads of requests and answers between wire and types."""

from collections.abc import Iterable, Mapping

import attrs
from multidict import CIMultiDict

from arbutusbay.platform._names import BEARER_PREFIX, Header

_CONNECTION_HEADERS = frozenset(
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
_SYSTEM_HEADERS = frozenset(
    header.lower()
    for header in (
        Header.AUTHORIZATION,
        Header.CACHE_SALT,
        Header.DEADLINE_MS,
        Header.EXPECT_INSTANCE,
        Header.EXPECT_VERSION,
        Header.HOLD,
        Header.KV_BACKUP,
        Header.KV_FETCH,
        Header.KV_FROM,
        Header.KV_SAVE,
        Header.PIN_MS,
        Header.REQUEST_PRIORITY,
        Header.TENANT,
        'expect',
    )
)
_ENGINE_ONLY_HEADERS = frozenset(
    header.lower()
    for header in (
        Header.SERVER_LOAD,
        Header.INSTANCE_ID,
        Header.NOT_EXECUTED,
        'date',
        'server',
    )
)
_CONTENT_ENCODING = 'Content-Encoding'
_LOAD_FIELDS = 3
_USUAL_PERCENT = 100


@attrs.frozen(kw_only=True)
class PromptPart:
    """Name one part of a prompt and its length."""

    id: str
    tokens: int


@attrs.frozen(kw_only=True)
class RequestHead:
    """Hold what the head of a client's request says.

    ``deadline_s`` is how long the client waits; token counts are 0 and
    ``parts`` empty where the request is not for a model.
    """

    attempt_id: str
    api_key: str | None
    deadline_s: float | None
    model: str
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]
    last_event_id: int


@attrs.frozen(kw_only=True)
class EngineLoad:
    """Hold what an engine says of its load.

    ``slowdown`` is how many times longer than usual its machine takes.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float


@attrs.frozen(kw_only=True)
class AttemptOrders:
    """Hold what the system tells an engine with one attempt."""

    instance: str
    remaining_s: float
    team: str
    priority: int
    weights_version: int | None = None
    cache_salt: str = ''
    fetch_from: str = ''
    save_to: str = ''
    resume_after: int = 0


@attrs.frozen(kw_only=True)
class AnswerHead:
    """Hold what the head of an engine's answer says.

    ``instance`` is the id of who answered, empty where it isn't told;
    an encoded body is not what the backend server made.
    """

    attempt_id: str
    is_stamped: bool
    is_not_run: bool
    instance: str
    is_encoded: bool
    load: EngineLoad | None
    weights_version: int | None


def request_head_from(headers: Mapping[str, str]) -> RequestHead:
    """Return what the head says; unreadable figures count as absent."""
    prompt, _, output = headers.get(Header.TOKEN_COUNTS, '').partition(',')
    deadline_ms = _number(headers.get(Header.DEADLINE_MS, ''))
    return RequestHead(
        attempt_id=headers.get(Header.ATTEMPT_ID, ''),
        api_key=_api_key(headers.get(Header.AUTHORIZATION, '')),
        deadline_s=None if deadline_ms is None else deadline_ms / 1000,
        model=headers.get(Header.MODEL, ''),
        prompt_tokens=int(_number(prompt) or 0),
        max_output_tokens=int(_number(output) or 0),
        parts=_parts(headers.get(Header.PROMPT_PREFIX, '')),
        last_event_id=int(_number(headers.get(Header.LAST_EVENT_ID, '')) or 0),
    )


def headers_to_engine(
    raw_headers: Iterable[tuple[str, str]],
    orders: AttemptOrders,
) -> CIMultiDict[str]:
    """Return the client's headers with the system's own set anew."""
    forwarded = CIMultiDict(raw_headers)
    named = forwarded.get('connection', '').lower().split(',')
    dropped = {name.strip() for name in named}
    dropped |= _CONNECTION_HEADERS | _SYSTEM_HEADERS
    for name in {name.lower() for name in forwarded} & dropped:
        forwarded.popall(name)
    forwarded[Header.DEADLINE_MS] = str(int(orders.remaining_s * 1000))
    forwarded[Header.EXPECT_INSTANCE] = orders.instance
    optional = {
        Header.TENANT: orders.team,
        Header.CACHE_SALT: orders.cache_salt,
        Header.KV_FETCH: orders.fetch_from,
        Header.KV_SAVE: orders.save_to,
    }
    for name, text in optional.items():
        if text:
            forwarded[name] = text
    if orders.weights_version is not None:
        forwarded[Header.EXPECT_VERSION] = str(orders.weights_version)
        forwarded[Header.REQUEST_PRIORITY] = str(orders.priority)
    if orders.resume_after:
        forwarded[Header.LAST_EVENT_ID] = str(orders.resume_after)
    return forwarded


def headers_to_client(
    headers: Iterable[tuple[str, str]],
) -> CIMultiDict[str]:
    """Return the engine's headers without those for the system alone."""
    dropped = _CONNECTION_HEADERS | _ENGINE_ONLY_HEADERS
    return CIMultiDict(
        (name, text) for name, text in headers if name.lower() not in dropped
    )


def answer_head_from(headers: Mapping[str, str]) -> AnswerHead:
    """Return what the head of an engine's answer says."""
    version = _number(headers.get(Header.WEIGHT_VERSIONS, ''))
    return AnswerHead(
        attempt_id=headers.get(Header.ATTEMPT_ID, ''),
        is_stamped=Header.RESPONSE_STAMP in headers,
        is_not_run=Header.NOT_EXECUTED in headers,
        instance=headers.get(Header.INSTANCE_ID, ''),
        is_encoded=_CONTENT_ENCODING in headers,
        load=_load(headers.get(Header.SERVER_LOAD, '')),
        weights_version=None if version is None else int(version),
    )


def attempt_id_from(headers: Mapping[str, str]) -> str:
    """Return the id of the client's attempt, empty where there is none."""
    return headers.get(Header.ATTEMPT_ID, '')


def refusal_headers(
    attempt_id: str,
    retry_after_s: float | None,
) -> dict[str, str]:
    """Return the headers of a refusal: whose it is, when to come back."""
    headers = {Header.ATTEMPT_ID.value: attempt_id}
    if retry_after_s is not None:
        headers[Header.RETRY_AFTER.value] = f'{retry_after_s:.2f}'
    return headers


def _api_key(authorization: str) -> str | None:
    if authorization.startswith(BEARER_PREFIX):
        return authorization.removeprefix(BEARER_PREFIX)
    return None


def _parts(text: str) -> tuple[PromptPart, ...]:
    parts: list[PromptPart] = []
    for entry in text.split(','):
        name, _, tokens = entry.strip().partition(':')
        if name and tokens.isdecimal():
            parts.append(PromptPart(id=name, tokens=int(tokens)))
    return tuple(parts)


def _load(text: str) -> EngineLoad | None:
    fields = [_number(field) for field in text.split(',')]
    if len(fields) < _LOAD_FIELDS or None in fields:
        return None
    percent = fields[_LOAD_FIELDS] if len(fields) > _LOAD_FIELDS else None
    return EngineLoad(
        running=int(fields[0] or 0),
        waiting=int(fields[1] or 0),
        slots=int(fields[2] or 0),
        slowdown=(percent or _USUAL_PERCENT) / _USUAL_PERCENT,
    )


def _number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < float('inf') else None
