"""Expose the HTTP server and client of the router and control daemons."""

from arbutusbay._http import (
    HttpService,
    call_peer,
    capnp_response,
    failure_response,
    json_response,
    new_application,
    new_client_session,
    parse_json,
    read_request_message,
)
from arbutusbay._request_drain import ending_failure

__all__ = (
    'HttpService',
    'call_peer',
    'capnp_response',
    'ending_failure',
    'failure_response',
    'json_response',
    'new_application',
    'new_client_session',
    'parse_json',
    'read_request_message',
)
