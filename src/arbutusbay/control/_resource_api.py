"""Serve the declarative resource API to operators.

Reads come from the shared state. A write is appended to the configuration
stream and answered when its record was read back, because only the order of
the log decides whether its precondition holds.
"""

import time
import uuid
from http import HTTPStatus
from typing import Any

import aiohttp
import orjson
from aiohttp import web
from result import Err, Ok, Result

from arbutusbay.control._config_log_reader import CONFIG_STREAM
from arbutusbay.control._shared_state import ControlState, WriteResult
from arbutusbay.control._status import fetch_system_status, resource_conditions
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.hosting import LogClient
from arbutusbay.http import failure_response, json_response, parse_json
from arbutusbay.response_streams import begin_stream
from arbutusbay.state import (
    NO_VERSION,
    SPEC_TYPES,
    Delete,
    Put,
    Resource,
    ResourceId,
    encode_config_record,
    resource_to_json,
    spec_from_json,
    validate_resource_name,
)

_WRITE_TIMEOUT_S = 3.0
_WATCH_KEEPALIVE_INTERVAL_S = 5.0


class ResourceApi:
    """Serve reads, writes and watches of declared resources."""

    def __init__(
        self,
        *,
        shared_state: ControlState,
        log: LogClient,
        session: aiohttp.ClientSession,
    ) -> None:
        """Create an API that writes to ``log``.

        ``session`` is used to request the state of engines from other daemons.
        """
        self.shared_state = shared_state
        self.log = log
        self.session = session

    def add_routes(self, application: web.Application) -> None:
        """Add the routes of this API to ``application``."""
        router = application.router
        router.add_get('/api/v1/status', self.get_status)
        router.add_get('/api/v1/watch', self.watch)
        router.add_get('/api/v1/{kind}', self.list_resources)
        router.add_get('/api/v1/{kind}/{name}', self.get_resource)
        router.add_put('/api/v1/{kind}/{name}', self.put_resource)
        router.add_delete('/api/v1/{kind}/{name}', self.delete_resource)

    async def get_status(self, request: web.Request) -> web.Response:
        """Return the members, the offsets in force and the engines by pool."""
        return json_response(
            await fetch_system_status(self.shared_state, self.session)
        )

    async def list_resources(self, request: web.Request) -> web.Response:
        """Return all resources of one kind with their status."""
        match self._check_config_known():
            case Err(failure):
                return failure_response(failure)
        kind = request.match_info['kind']
        if kind not in SPEC_TYPES:
            return failure_response(_unknown_kind(kind))
        resources = self.shared_state.resources_by_name(kind)
        return json_response(
            {
                'offset': self.shared_state.config.offset,
                'items': [
                    self._to_json(resources[name]) for name in sorted(resources)
                ],
            }
        )

    async def get_resource(self, request: web.Request) -> web.Response:
        """Return one resource with its status."""
        match self._check_config_known():
            case Err(failure):
                return failure_response(failure)
        resource_id = _id_from_request(request)
        resource = self.shared_state.config.resources.get(resource_id)
        if resource is None:
            return failure_response(_unknown_resource(resource_id))
        return _resource_response(self._to_json(resource))

    async def put_resource(self, request: web.Request) -> web.Response:
        """Create or replace a resource.

        ``If-Match`` names the version to replace, or is ``*`` for any state;
        without it the resource must not exist. Fails with
        ``VERSION_CONFLICT`` if the precondition does not hold and with
        ``LOG_UNAVAILABLE`` if the outcome is unknown.
        """
        match await self._parse_put(request):
            case Err(failure):
                return failure_response(failure)
            case Ok(record):
                pass
        match await self._append_and_wait(record):
            case Err(failure):
                return failure_response(failure)
            case Ok(write_result):
                pass
        is_new = record.expects == NO_VERSION
        status = HTTPStatus.CREATED if is_new else HTTPStatus.OK
        resource = Resource(
            id=record.id,
            spec=record.spec,
            version=write_result.offset,
        )
        return _resource_response(self._to_json(resource), status=status)

    async def delete_resource(self, request: web.Request) -> web.Response:
        """Delete a resource if ``If-Match`` holds; fail as ``put_resource``.

        Without ``If-Match`` it fails with ``BAD_REQUEST``.
        """
        match _required_version(request):
            case Err(failure):
                return failure_response(failure)
            case Ok(expects):
                pass
        record = Delete(
            id=_id_from_request(request),
            expects=expects,
            nonce=uuid.uuid4().hex,
        )
        match await self._append_and_wait(record):
            case Err(failure):
                return failure_response(failure)
            case Ok(write_result):
                return json_response({'deleted_at': write_result.offset})

    async def watch(self, request: web.Request) -> web.StreamResponse:
        """Stream the current state, then each change, as JSON lines.

        An empty line is sent while nothing changes.
        """
        response = web.StreamResponse()
        response.content_type = 'application/x-ndjson'
        stream = await begin_stream(request, response)
        sent_versions: dict[ResourceId, int] = {}
        while stream.has_body and not self.shared_state.draining:
            for line in self._changes_since(sent_versions):
                await stream.write(
                    orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE)
                )
            if not await self.shared_state.config_changed.wait(
                _WATCH_KEEPALIVE_INTERVAL_S
            ):
                await stream.write(b'\n')
        await stream.complete()
        return response

    def _changes_since(self, sent_versions: dict[ResourceId, int]) -> list[Any]:
        resources = self.shared_state.config.resources
        deleted_ids = [
            resource_id
            for resource_id in sent_versions
            if resource_id not in resources
        ]
        lines: list[Any] = []
        for resource_id in deleted_ids:
            sent_versions.pop(resource_id)
            lines.append(
                {
                    'type': 'deleted',
                    'kind': resource_id.kind,
                    'name': resource_id.name,
                }
            )
        for resource in resources.values():
            if sent_versions.get(resource.id) != resource.version:
                sent_versions[resource.id] = resource.version
                lines.append({'type': 'put', **resource_to_json(resource)})
        return lines

    async def _parse_put(self, request: web.Request) -> Result[Put, Failure]:
        resource_id = _id_from_request(request)
        body = parse_json(await request.read())
        spec = body.and_then(
            lambda fields: spec_from_json(resource_id.kind, fields),
        )
        match (
            validate_resource_name(resource_id.name),
            spec,
            _expected_version(request),
        ):
            case (Err() as failed, _, _) | (_, Err() as failed, _):
                return failed
            case (_, _, Err() as failed):
                return failed
            case (_, Ok(parsed_spec), Ok(expects)):
                return Ok(
                    Put(
                        id=resource_id,
                        spec=parsed_spec,
                        expects=expects,
                        nonce=uuid.uuid4().hex,
                    ),
                )

    async def _append_and_wait(
        self, record: Put | Delete
    ) -> Result[WriteResult, Failure]:
        match self._check_config_known():
            case Err() as failed:
                return failed
        appended = await self.log.append(
            CONFIG_STREAM,
            encode_config_record(record),
        )
        write_result = await self._wait_for_write_result(record.nonce)
        if write_result is not None:
            return self._result_of_write(record, write_result)
        reason = (
            appended.err().detail
            if appended.is_err()
            else 'the record was not read back in time'
        )
        return Err(
            Failure(
                kind=ErrorKind.LOG_UNAVAILABLE,
                detail=f'the write may still take effect: {reason}',
            ),
        )

    async def _wait_for_write_result(self, nonce: str) -> WriteResult | None:
        deadline_s = time.monotonic() + _WRITE_TIMEOUT_S
        while nonce not in self.shared_state.write_results:
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0:
                return None
            await self.shared_state.config_changed.wait(remaining_s)
        return self.shared_state.write_results[nonce]

    def _result_of_write(
        self,
        record: Put | Delete,
        write_result: WriteResult,
    ) -> Result[WriteResult, Failure]:
        if write_result.accepted:
            return Ok(write_result)
        return Err(
            Failure(
                kind=ErrorKind.VERSION_CONFLICT,
                detail=(
                    f'{record.id.kind}/{record.id.name} is not at version '
                    f'{record.expects}; read it again and retry'
                ),
            ),
        )

    def _check_config_known(self) -> Result[None, Failure]:
        if self.shared_state.config_known:
            return Ok(None)
        return Err(
            Failure(
                kind=ErrorKind.NOT_CONFIGURED,
                detail='the configuration has not been read yet',
            ),
        )

    def _to_json(self, resource: Resource) -> dict[str, Any]:
        return {
            **resource_to_json(resource),
            'status': {
                'conditions': resource_conditions(self.shared_state, resource)
            },
        }


def _id_from_request(request: web.Request) -> ResourceId:
    return ResourceId(
        kind=request.match_info['kind'],
        name=request.match_info['name'],
    )


def _expected_version(request: web.Request) -> Result[int | None, Failure]:
    header = request.headers.get('If-Match')
    if header is None:
        return Ok(NO_VERSION)
    if header == '*':
        return Ok(None)
    try:
        return Ok(int(header.strip('"')))
    except ValueError:
        return Err(
            Failure(
                kind=ErrorKind.BAD_REQUEST,
                detail=f'If-Match must be a version or *, not {header!r}',
            ),
        )


def _required_version(request: web.Request) -> Result[int | None, Failure]:
    if 'If-Match' in request.headers:
        return _expected_version(request)
    return Err(
        Failure(
            kind=ErrorKind.BAD_REQUEST,
            detail='If-Match must name the version to delete, or be *',
        ),
    )


def _resource_response(
    body: dict[str, Any],
    *,
    status: int = HTTPStatus.OK,
) -> web.Response:
    headers = {'ETag': f'"{body["version"]}"'}
    return json_response(body, status=status, headers=headers)


def _unknown_kind(kind: str) -> Failure:
    return Failure(
        kind=ErrorKind.UNKNOWN_RESOURCE,
        detail=(
            f'unknown resource kind {kind!r}; '
            f'use one of {", ".join(SPEC_TYPES)}'
        ),
    )


def _unknown_resource(resource_id: ResourceId) -> Failure:
    return Failure(
        kind=ErrorKind.UNKNOWN_RESOURCE,
        detail=f'no {resource_id.kind} named {resource_id.name!r}',
    )
