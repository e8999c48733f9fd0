"""Send the output of a completion to its client."""

import asyncio
from collections.abc import AsyncIterator
from types import MappingProxyType

import attrs
from aiohttp import web
from result import Err, Ok, Result

from arbutusbay.backend import GenerationEnd, TextPiece
from arbutusbay.errors import Failure
from arbutusbay.http import ending_failure, failure_response, json_response
from arbutusbay.response_streams import ResponseStream, begin_stream
from arbutusbay.router._completion_format import (
    STREAM_DONE,
    CompletionFormatter,
    Usage,
    failure_event,
)
from arbutusbay.router._generation_run import GenerationRun
from arbutusbay.router._rate_limits import Grant

_STREAM_HEADERS = MappingProxyType(
    {
        'Content-Type': 'text/event-stream',
        'Cache-Control': 'no-cache',
    }
)


@attrs.define(kw_only=True)
class ActiveCompletion:
    """Track one response for the log and the metrics.

    ``first_piece_s`` is the seconds from arrival to the first piece of
    output. ``grant`` is what its team's limit was charged.
    """

    run: GenerationRun
    completion_formatter: CompletionFormatter
    first_piece_s: float | None = None
    failure: Failure | None = None
    grant: Grant | None = None

    def has_not_run(self) -> bool:
        """Return whether certainly no engine has run the completion."""
        progress = self.run.progress
        if not progress.attempts:
            return True
        return (
            self.failure is not None
            and self.failure.is_not_run
            and not progress.may_have_run
        )

    def usage(self) -> Usage:
        """Return the token counts so far."""
        progress = self.run.progress
        return Usage(
            prompt_tokens=progress.prompt_tokens,
            cached_tokens=progress.cached_tokens,
            completion_tokens=progress.relayed_pieces,
        )


async def stream_response(
    request: web.Request,
    completion: ActiveCompletion,
    events: AsyncIterator[Result[TextPiece | GenerationEnd, Failure]],
) -> web.StreamResponse:
    """Send the output as events; a failure before the first one is sent whole.

    A completion that ends with its process ends with an event that names it.
    """
    completion_stream = CompletionStream(request=request)
    try:
        async for event in events:
            match event:
                case Err(failure) if completion_stream.stream is None:
                    return failure_response(failure)
            await completion_stream.write(_encode_event(completion, event))
    except asyncio.CancelledError:
        completion.failure = ending_failure(request)
        if completion_stream.stream is None or completion.failure is None:
            raise
        await completion_stream.write(failure_event(completion.failure))
    await completion_stream.stream.complete()
    return completion_stream.stream.response


@attrs.define(kw_only=True)
class CompletionStream:
    """Send events to a client; the head goes out with the first one."""

    request: web.Request
    stream: ResponseStream | None = None

    async def write(self, event: bytes) -> None:
        """Send one encoded event."""
        if self.stream is None:
            self.stream = await begin_stream(
                self.request, web.StreamResponse(headers=_STREAM_HEADERS)
            )
        await self.stream.write(event)


def _encode_event(
    completion: ActiveCompletion,
    event: Result[TextPiece | GenerationEnd, Failure],
) -> bytes:
    match event:
        case Ok(TextPiece(text=text)):
            return completion.completion_formatter.chunk(text)
        case Ok(GenerationEnd(finish_reason=reason)):
            last = completion.completion_formatter.chunk(
                '',
                finish_reason=reason,
                usage=completion.usage(),
            )
            return last + STREAM_DONE
        case Err(failure):
            return failure_event(failure)


async def full_response(
    completion: ActiveCompletion,
    events: AsyncIterator[Result[TextPiece | GenerationEnd, Failure]],
) -> web.Response:
    """Return the output as one response, or the failure."""
    texts = []
    finish_reason = ''
    async for event in events:
        match event:
            case Ok(TextPiece(text=text)):
                texts.append(text)
            case Ok(GenerationEnd(finish_reason=reason)):
                finish_reason = reason
            case Err(failure):
                return failure_response(failure)
    return json_response(
        completion.completion_formatter.full_body(
            ''.join(texts), finish_reason, completion.usage()
        ),
    )
