"""Parse and validate the body of a completion request."""

from typing import Any

import attrs
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure

_DEFAULT_MAX_TOKENS = 128
_MAX_TOKENS_LIMIT = 32_768


@attrs.frozen(kw_only=True)
class CompletionBody:
    """Hold the fields of a completion request that the router uses."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    is_chat: bool


def parse_completion(
    fields: dict[str, Any],
    *,
    is_chat: bool,
) -> Result[CompletionBody, Failure]:
    """Return the validated body.

    Fails with ``BAD_REQUEST`` and names the invalid field.
    """
    prompt = _chat_prompt(fields) if is_chat else _text_prompt(fields)
    match prompt, _model(fields), _max_tokens(fields), _stream(fields):
        case (Err() as failed, _, _, _) | (_, Err() as failed, _, _):
            return failed
        case (_, _, Err() as failed, _) | (_, _, _, Err() as failed):
            return failed
        case (Ok(text), Ok(model), Ok(max_tokens), Ok(stream)):
            return Ok(
                CompletionBody(
                    model=model,
                    prompt=text,
                    max_tokens=max_tokens,
                    stream=stream,
                    is_chat=is_chat,
                ),
            )


def _model(fields: dict[str, Any]) -> Result[str, Failure]:
    model = fields.get('model')
    if isinstance(model, str) and model:
        return Ok(model)
    return _bad_request('model must be a non-empty string')


def _stream(fields: dict[str, Any]) -> Result[bool, Failure]:
    stream = fields.get('stream', False)
    if stream is None or isinstance(stream, bool):
        return Ok(bool(stream))
    return _bad_request('stream must be a boolean')


def _max_tokens(fields: dict[str, Any]) -> Result[int, Failure]:
    for name in ('max_completion_tokens', 'max_tokens'):
        limit = fields.get(name)
        if limit is None:
            continue
        is_integer = isinstance(limit, int) and not isinstance(limit, bool)
        if is_integer and 1 <= limit <= _MAX_TOKENS_LIMIT:
            return Ok(limit)
        return _bad_request(
            f'{name} must be an integer from 1 to {_MAX_TOKENS_LIMIT}'
        )
    return Ok(_DEFAULT_MAX_TOKENS)


def _text_prompt(fields: dict[str, Any]) -> Result[str, Failure]:
    prompt = fields.get('prompt')
    if isinstance(prompt, str) and prompt:
        return Ok(prompt)
    return _bad_request('prompt must be a non-empty string')


def _chat_prompt(fields: dict[str, Any]) -> Result[str, Failure]:
    messages = fields.get('messages')
    if not isinstance(messages, list) or not messages:
        return _bad_request('messages must be a non-empty list')
    texts = [_message_text(message) for message in messages]
    if None in texts:
        position = texts.index(None)
        return _bad_request(
            f'messages[{position}] must have a role and text content'
        )
    return Ok(''.join(text for text in texts if text))


def _message_text(message: Any) -> str | None:
    if not isinstance(message, dict):
        return None
    role = message.get('role')
    text = _content_text(message.get('content'))
    if not isinstance(role, str) or text is None:
        return None
    return f'<{role}>\n{text}\n'


def _content_text(content: Any) -> str | None:
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        return None
    texts = [
        part.get('text') if isinstance(part, dict) else None for part in content
    ]
    if all(isinstance(text, str) for text in texts):
        return ''.join(texts)
    return None


def _bad_request(detail: str) -> Err[Failure]:
    return Err(Failure(kind=ErrorKind.BAD_REQUEST, detail=detail))
