"""Provide a client of the resource API of a control daemon."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import attrs
import orjson
from aiohttp.http_exceptions import LineTooLong
from result import Err, Ok, Result

from arbutusbay.cli._resource_files import DeclaredResource
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.responses import fetch_message
from arbutusbay.state import spec_to_json

_REQUEST_TIMEOUT_S = 10.0
_WATCH_READ_TIMEOUT_S = 30
_MAX_SUCCESS_STATUS = 299
_MAX_BODY_BYTES = 16_777_216


@attrs.frozen(kw_only=True)
class ApplyResult:
    """Describe the result of declaring one resource.

    ``action`` is ``created``, ``changed`` or ``unchanged``; ``version`` is
    the version of the resource afterwards.
    """

    kind: str
    name: str
    action: str
    version: int


class ApiClient:
    """Read, declare, delete and watch resources over HTTP."""

    def __init__(self, *, session: aiohttp.ClientSession, url: str) -> None:
        """Send requests to the control daemon at ``url``."""
        self.session = session
        self.url = url.rstrip('/')

    async def get(self, path: str) -> Result[Any, Failure]:
        """Return the parsed JSON at ``path``."""
        return await self._call('GET', path)

    async def apply(
        self, resource: DeclaredResource
    ) -> Result[ApplyResult, Failure]:
        """Create a resource or replace its current version.

        A resource that already has the declared spec is not written. If it
        changes between the read and the write, the API refuses the write
        with a version conflict.
        """
        path = f'/api/v1/{resource.kind}/{resource.name}'
        spec = spec_to_json(resource.spec)
        match await self.get(path):
            case Ok(current):
                version = current['version']
                if current['spec'] == spec:
                    return Ok(
                        _build_apply_result(resource, 'unchanged', version)
                    )
                action = 'changed'
                headers = {'If-Match': f'"{version}"'}
            case Err(Failure(kind=ErrorKind.UNKNOWN_RESOURCE)):
                action = 'created'
                headers = {}
            case Err() as failed:
                return failed
        response = await self._call('PUT', path, body=spec, headers=headers)
        return response.map(
            lambda fields: _build_apply_result(
                resource, action, fields['version']
            ),
        )

    async def delete(self, kind: str, name: str) -> Result[Any, Failure]:
        """Delete a resource and return the parsed response.

        If it changes between the read and the delete, the API refuses the
        delete with a version conflict.
        """
        path = f'/api/v1/{kind}/{name}'
        match await self.get(path):
            case Err() as failed:
                return failed
            case Ok(current):
                headers = {'If-Match': f'"{current["version"]}"'}
        return await self._call('DELETE', path, headers=headers)

    async def watch(self) -> AsyncIterator[Result[Any, Failure]]:
        """Yield changes until the daemon closes the stream.

        The last result is a ``PEER_UNREACHABLE`` failure if the daemon can't
        be reached, answers with an error or sends nothing for 30 seconds.
        """
        try:
            async for line in self._watch_lines():
                yield Ok(orjson.loads(line))
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            OSError,
            LineTooLong,
        ) as error:
            yield _unreachable(f'{self.url}: {type(error).__name__}: {error}')
        except ValueError:
            yield _unreachable(f'{self.url}: the response is not JSON')

    async def _watch_lines(self) -> AsyncIterator[bytes]:
        timeout = aiohttp.ClientTimeout(
            total=None, sock_read=_WATCH_READ_TIMEOUT_S
        )
        url = f'{self.url}/api/v1/watch'
        async with self.session.get(
            url, timeout=timeout, raise_for_status=True
        ) as response:
            async for line in response.content:
                if line.strip():
                    yield line

    async def _call(
        self,
        method: str,
        path: str,
        *,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Result[Any, Failure]:
        call = self.session.request(
            method,
            self.url + path,
            data=None if body is None else orjson.dumps(body),
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S),
        )
        match await fetch_message(call, _MAX_BODY_BYTES):
            case Err(missing):
                return _unreachable(f'{self.url}: {missing.detail}')
            case Ok(response):
                pass
        try:
            parsed = orjson.loads(response.body)
        except ValueError:
            return _unreachable(f'{self.url}: the response is not JSON')
        if response.status > _MAX_SUCCESS_STATUS:
            return Err(_failure_from_json(parsed))
        return Ok(parsed)


def _build_apply_result(
    resource: DeclaredResource, action: str, version: int
) -> ApplyResult:
    return ApplyResult(
        kind=resource.kind,
        name=resource.name,
        action=action,
        version=version,
    )


def _failure_from_json(parsed: Any) -> Failure:
    try:
        error = parsed['error']
        return Failure(
            kind=ErrorKind(error['code']),
            detail=error['message'],
        )
    except (KeyError, TypeError, ValueError):
        return Failure(
            kind=ErrorKind.INTERNAL,
            detail=f'answer {parsed!r}',
        )


def _unreachable(detail: str) -> Err[Failure]:
    return Err(Failure(kind=ErrorKind.PEER_UNREACHABLE, detail=detail))
