"""Format completions in the shapes that OpenAI clients read."""

import time
from typing import Any

import attrs
import orjson

from arbutusbay.errors import Failure
from arbutusbay.router._completion_parser import CompletionBody

STREAM_DONE = b'data: [DONE]\n\n'


@attrs.frozen(kw_only=True)
class Usage:
    """Count the tokens of one completion."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int

    def to_json(self) -> dict[str, Any]:
        """Return the usage object."""
        return {
            'prompt_tokens': self.prompt_tokens,
            'completion_tokens': self.completion_tokens,
            'total_tokens': self.prompt_tokens + self.completion_tokens,
            'prompt_tokens_details': {'cached_tokens': self.cached_tokens},
        }


@attrs.frozen(kw_only=True)
class CompletionFormat:
    """Format the answer to one request."""

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
        """Return one server-sent event."""
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

    def whole(self, text: str, finish_reason: str, usage: Usage) -> Any:
        """Return the body of an answer that is not streamed."""
        choice = {'index': 0, 'finish_reason': finish_reason}
        if self.body.is_chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        whole = self._envelope('')
        whole['choices'] = [choice]
        whole['usage'] = usage.to_json()
        return whole

    def _envelope(self, suffix: str) -> dict[str, Any]:
        family = 'chat.completion' if self.body.is_chat else 'text_completion'
        return {
            'id': self.request_id,
            'object': family + suffix,
            'created': self.created_s,
            'model': self.body.model,
        }


def failure_event(failure: Failure) -> bytes:
    """Return the terminal event of a stream that could not be finished."""
    return _event(failure.to_json())


def _event(body: Any) -> bytes:
    return b''.join((b'data: ', orjson.dumps(body), b'\n\n'))
