"""Call routers as an ordinary client would."""

import asyncio
from typing import Any

import aiohttp
import attrs
import orjson

from emulator.engine import expected_word
from tests.builders import build_chat, build_headers, build_prompt

_TIMEOUT_S = 60
_EVENT_PREFIX = b'data: '
_DONE = b'[DONE]'


@attrs.frozen(kw_only=True)
class StreamAnswer:
    """Hold what a caller saw of one stream."""

    status: int
    text: str
    done: bool
    error: dict[str, Any] | None

    @property
    def is_explained(self) -> bool:
        """Tell whether the stream is whole or ends with an error."""
        return self.done != (self.error is not None)


@attrs.frozen(kw_only=True)
class Answer:
    """Hold a whole answer; status 0 stands for a lost connection."""

    status: int
    body: Any
    headers: dict[str, str]

    @property
    def run_state(self) -> str:
        """Return what the answer says about effects."""
        if self.status == 0:
            return 'outcome_unknown'
        if isinstance(self.body, dict) and 'error' in self.body:
            return self.body['error']['run_state']
        return 'ran'


def expected_text(question: str, pieces: int, version: str = 'v1') -> str:
    """Return what an undisturbed engine would have said."""
    prompt = build_prompt(question)
    return ''.join(
        expected_word(prompt, version, index) for index in range(pieces)
    )


async def stream_chat(
    session: aiohttp.ClientSession,
    url: str,
    question: str,
    *,
    max_tokens: int = 8,
    team: str = 'till-rolls',
) -> StreamAnswer:
    """Stream one chat completion; a lost connection has no error."""
    seen = StreamReader()
    try:
        async with session.post(
            f'{url}/v1/chat/completions',
            json=build_chat(question, max_tokens=max_tokens),
            headers=build_headers(team),
            timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
        ) as response:
            await seen.read(response)
    except (aiohttp.ClientError, asyncio.TimeoutError):
        seen.done = False
    return StreamAnswer(
        status=seen.status,
        text=''.join(seen.texts),
        done=seen.done,
        error=seen.error,
    )


@attrs.define(kw_only=True)
class StreamReader:
    """Gather what arrives of one stream, up to a lost connection."""

    status: int = 0
    texts: list[str] = attrs.field(factory=list)
    done: bool = False
    error: dict[str, Any] | None = None

    async def read(self, response: aiohttp.ClientResponse) -> None:
        """Read the answer to its end."""
        self.status = response.status
        if response.status != 200:
            self.error = (await response.json())['error']
            return
        async for line in response.content:
            if line.startswith(_EVENT_PREFIX):
                self.put_event(line.removeprefix(_EVENT_PREFIX).strip())

    def put_event(self, event: bytes) -> None:
        """Take up one server-sent event."""
        if event == _DONE:
            self.done = True
            return
        fields = orjson.loads(event)
        self.error = fields.get('error')
        if self.error is None:
            self.texts.append(_delta_text(fields))


async def call(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    *,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = _TIMEOUT_S,
) -> Answer:
    """Send one request and return its whole answer."""
    payload = body if isinstance(body, bytes) else orjson.dumps(body)
    try:
        async with session.request(
            method,
            url,
            data=None if body is None else payload,
            headers=headers or build_headers(),
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            raw = await response.read()
            found = dict(response.headers)
            status = response.status
    except (aiohttp.ClientError, asyncio.TimeoutError) as error:
        return Answer(status=0, body=repr(error), headers={})
    try:
        return Answer(status=status, body=orjson.loads(raw), headers=found)
    except ValueError:
        return Answer(status=status, body=raw.decode(), headers=found)


async def book(
    session: aiohttp.ClientSession,
    url: str,
    key: str,
    *,
    timeout_s: float = 10,
) -> Answer:
    """Book one order with an idempotency key."""
    return await call(
        session,
        'POST',
        f'{url}/services/orders/orders',
        body={'pallets': 1},
        headers=build_headers(key=key),
        timeout_s=timeout_s,
    )


def _delta_text(fields: dict[str, Any]) -> str:
    return fields['choices'][0]['delta'].get('content', '')
