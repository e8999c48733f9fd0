"""Send requests to routers over HTTP."""

import asyncio
from typing import Any

import aiohttp
import attrs
import orjson

from emulator.engine import expected_piece
from tests.builders import (
    MODEL,
    build_chat_body,
    build_headers,
    build_prompt,
)

_REQUEST_TIMEOUT_S = 60
_EVENT_PREFIX = b'data: '
_END_OF_STREAM = b'[DONE]'


@attrs.frozen(kw_only=True)
class StreamedResponse:
    """Represent what the client received of one streamed completion."""

    status: int
    text: str
    done: bool
    error: dict[str, Any] | None

    @property
    def has_explicit_end(self) -> bool:
        """Return whether the stream ended with its end marker or with an error.

        A stream that ends with neither, or with both, is faulty.
        """
        return self.done != (self.error is not None)


@attrs.frozen(kw_only=True)
class Response:
    """Represent a complete response; status 0 means a lost connection."""

    status: int
    body: Any
    headers: dict[str, str]

    @property
    def run_state(self) -> str:
        """Return whether the request ran, as far as the response shows."""
        if self.status == 0:
            return 'outcome_unknown'
        if isinstance(self.body, dict) and 'error' in self.body:
            return self.body['error']['run_state']
        return 'ran'


def expected_text(question: str, piece_count: int, version: str = 'v1') -> str:
    """Return the text that an engine generates without faults."""
    prompt = build_prompt(question)
    return ''.join(
        expected_piece(prompt, version, index) for index in range(piece_count)
    )


async def stream_chat(
    session: aiohttp.ClientSession,
    url: str,
    question: str,
    *,
    max_tokens: int = 8,
    team: str = 'till-rolls',
    model: str = MODEL,
) -> StreamedResponse:
    """Stream one chat completion.

    If the connection is lost, the result is neither done nor has an error.
    """
    reader = EventStreamReader()
    try:
        async with session.post(
            f'{url}/v1/chat/completions',
            json=build_chat_body(question, max_tokens=max_tokens, model=model),
            headers=build_headers(team),
            timeout=aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S),
        ) as response:
            await reader.read(response)
    except (aiohttp.ClientError, asyncio.TimeoutError):
        reader.done = False
    return StreamedResponse(
        status=reader.status,
        text=''.join(reader.texts),
        done=reader.done,
        error=reader.error,
    )


@attrs.define(kw_only=True)
class EventStreamReader:
    """Collect the events of one stream until it ends or breaks off."""

    status: int = 0
    texts: list[str] = attrs.field(factory=list)
    done: bool = False
    error: dict[str, Any] | None = None

    async def read(self, response: aiohttp.ClientResponse) -> None:
        """Read the response to its end."""
        self.status = response.status
        if response.status != 200:
            self.error = (await response.json())['error']
            return
        async for line in response.content:
            if line.startswith(_EVENT_PREFIX):
                self.add_event(line.removeprefix(_EVENT_PREFIX).strip())

    def add_event(self, event: bytes) -> None:
        """Add the payload of one server-sent event."""
        if event == _END_OF_STREAM:
            self.done = True
            return
        fields = orjson.loads(event)
        self.error = fields.get('error')
        if self.error is None:
            self.texts.append(_delta_text(fields))


async def send_request(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    *,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = _REQUEST_TIMEOUT_S,
) -> Response:
    """Send one request and return the complete response."""
    request_body = body if isinstance(body, bytes) else orjson.dumps(body)
    try:
        async with session.request(
            method,
            url,
            data=None if body is None else request_body,
            headers=headers or build_headers(),
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            response_body = await response.read()
            response_headers = dict(response.headers)
            status = response.status
    except (aiohttp.ClientError, asyncio.TimeoutError) as error:
        return Response(status=0, body=repr(error), headers={})
    try:
        return Response(
            status=status,
            body=orjson.loads(response_body),
            headers=response_headers,
        )
    except ValueError:
        return Response(
            status=status, body=response_body.decode(), headers=response_headers
        )


async def place_order(
    session: aiohttp.ClientSession,
    url: str,
    key: str,
    *,
    timeout_s: float = 10,
) -> Response:
    """Place one order with an idempotency key."""
    return await send_request(
        session,
        'POST',
        f'{url}/services/orders/orders',
        body={'pallets': 1},
        headers=build_headers(key=key),
        timeout_s=timeout_s,
    )


def _delta_text(fields: dict[str, Any]) -> str:
    return fields['choices'][0]['delta'].get('content', '')
