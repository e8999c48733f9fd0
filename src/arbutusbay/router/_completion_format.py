"""Format completions for clients of the OpenAI API."""

import time
from typing import Any

import attrs
import orjson

from arbutusbay.errors import Failure
from arbutusbay.router._completion_parser import CompletionBody

STREAM_DONE = b'data: [DONE]\n\n'


@attrs.frozen(kw_only=True)
class Usage:
    """Hold the token counts of one completion."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int

    def to_json(self) -> dict[str, Any]:
        """Return the ``usage`` object of the OpenAI API."""
        return {
            'prompt_tokens': self.prompt_tokens,
            'completion_tokens': self.completion_tokens,
            'total_tokens': self.prompt_tokens + self.completion_tokens,
            'prompt_tokens_details': {'cached_tokens': self.cached_tokens},
        }


@attrs.frozen(kw_only=True)
class CompletionFormatter:
    """Format the response to one request.

    ``created_s`` is Unix time in whole seconds.
    """

    request_id: str
    body: CompletionBody
    created_s: int = attrs.field(factory=lambda: int(time.time()))

    def chunk(
        self,
        text: str,
        *,
        finish_reason: str | None = None,
        usage: Usage | None = None,
    ) -> bytes:
        """Return one chunk of a streamed response as a server-sent event."""
        chunk = self._envelope('.chunk' if self.body.is_chat else '')
        choice = {'index': 0, 'finish_reason': finish_reason}
        if self.body.is_chat:
            choice['delta'] = {'content': text} if text else {}
        else:
            choice['text'] = text
        chunk['choices'] = [choice]
        if usage is not None:
            chunk['usage'] = usage.to_json()
        return _event(chunk)

    def full_body(self, text: str, finish_reason: str, usage: Usage) -> Any:
        """Return the body of a response that is not streamed."""
        choice = {'index': 0, 'finish_reason': finish_reason}
        if self.body.is_chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        response_body = self._envelope('')
        response_body['choices'] = [choice]
        response_body['usage'] = usage.to_json()
        return response_body

    def _envelope(self, suffix: str) -> dict[str, Any]:
        object_type = (
            'chat.completion' if self.body.is_chat else 'text_completion'
        )
        return {
            'id': self.request_id,
            'object': object_type + suffix,
            'created': self.created_s,
            'model': self.body.model,
        }


def failure_event(failure: Failure) -> bytes:
    """Return the event that ends a failed stream."""
    return _event(failure.to_json())


def _event(body: Any) -> bytes:
    return b''.join((b'data: ', orjson.dumps(body), b'\n\n'))
