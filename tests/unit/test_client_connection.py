"""Check that the state of a client's connection is read from the kernel.

The event loop of the server doesn't run while the client acts.
"""

import asyncio
import contextlib
import os
import socket
import struct
import time

import pytest
import uvloop

from arbutusbay import _unsent_bytes
from arbutusbay.client_ends import ClientEnd
from arbutusbay.node import _client_connection
from arbutusbay.node._client_connection import (
    ConnectionLook,
    look_at_connection,
    parse_tcp_info,
)
from arbutusbay.unsent_bytes import count_unsent_bytes

UNREAD_S = 0.3
ERROR_S = 0.1


class Acceptor(asyncio.Protocol):
    """Keep the transport of an accepted connection."""

    def __init__(self, accepted: asyncio.Future) -> None:
        """Resolve ``accepted`` with the transport."""
        self.accepted = accepted

    def connection_made(self, transport):
        """Store the transport."""
        self.accepted.set_result(transport)


@pytest.fixture(params=[asyncio.new_event_loop, uvloop.new_event_loop])
def loop(request):
    """Yield an event loop of both kinds."""
    with contextlib.closing(request.param()) as opened:
        yield opened


@pytest.fixture
def connection(loop):
    """Yield a client's socket and the server's transport of a connection."""
    accepted = loop.create_future()
    server = loop.run_until_complete(
        loop.create_server(lambda: Acceptor(accepted), '127.0.0.1', 0)
    )
    client = socket.create_connection(server.sockets[0].getsockname())
    transport = loop.run_until_complete(accepted)
    with client:
        yield client, transport
    transport.abort()
    server.close()
    loop.run_until_complete(server.wait_closed())


def reset(client):
    """Close the client's connection with a reset."""
    client.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    client.close()


def refuse_query(*arguments):
    """Fail as a kernel does that has no such query."""
    raise OSError


def test_waiting_client_is_connected(connection):
    client, transport = connection
    client.sendall(b'request')
    assert look_at_connection(transport).is_open


# Guards against a close that is hidden behind unread bytes.
def test_close_is_seen_behind_unread_bytes(connection):
    client, transport = connection
    client.sendall(b'one request and another')
    client.close()
    assert not look_at_connection(transport).is_open


def test_reset_is_seen(connection):
    client, transport = connection
    client.sendall(b'request')
    reset(client)
    assert not look_at_connection(transport).is_open


def test_age_of_unread_bytes_is_known(connection):
    client, transport = connection
    client.sendall(b'request')
    time.sleep(UNREAD_S)
    age_s = look_at_connection(transport).last_received_age_s
    assert UNREAD_S - ERROR_S < age_s < UNREAD_S + ERROR_S


# Guards against missing a close where the kernel's state is a constant.
def test_end_of_stream_is_seen_without_the_state(connection, monkeypatch):
    client, transport = connection
    established = struct.pack('=B51xI', 1, 0)
    monkeypatch.setattr(
        _client_connection, '_read_tcp_info', lambda _: established
    )
    assert look_at_connection(transport).is_open
    transport.pause_reading()
    client.close()
    assert not look_at_connection(transport).is_open


# Guards against a look that takes bytes, or the connection, from the loop.
def test_look_leaves_the_connection_as_it_is(connection):
    client, transport = connection
    client.sendall(b'request')
    looks = [look_at_connection(transport) for _ in range(3)]
    assert all(look.is_open for look in looks)
    descriptor = transport.get_extra_info('socket').fileno()
    assert socket.socket(fileno=os.dup(descriptor)).recv(100) == b'request'


# Guards against an answer that counts as delivered once the kernel has it.
@pytest.mark.parametrize('size', [100_000, 20_000_000])
def test_bytes_that_the_client_did_not_take_are_unsent(connection, loop, size):
    client, transport = connection
    client.settimeout(ERROR_S)
    # What the client's own kernel takes counts as received.
    received_by_kernel = client.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
    assert count_unsent_bytes(transport) == 0
    transport.write(bytes(received_by_kernel * 2 + size))
    loop.run_until_complete(asyncio.sleep(ERROR_S))
    assert count_unsent_bytes(transport) >= size / 2
    taken = 1
    while taken:
        loop.run_until_complete(asyncio.sleep(0))
        try:
            taken = len(client.recv(1_000_000))
        except TimeoutError:
            taken = 0
    assert count_unsent_bytes(transport) == 0


# Guards against an error of a kernel that does not count what is unsent.
def test_unsent_bytes_of_the_event_loop_are_counted_in_any_case(
    connection, loop, monkeypatch
):
    transport = connection[1]
    monkeypatch.setattr(_unsent_bytes.fcntl, 'ioctl', refuse_query)
    transport.write(bytes(20_000_000))
    loop.run_until_complete(asyncio.sleep(ERROR_S))
    unsent = count_unsent_bytes(transport)
    assert unsent > 0
    assert unsent == transport.get_write_buffer_size()
    transport.abort()
    loop.run_until_complete(asyncio.sleep(ERROR_S))
    assert count_unsent_bytes(transport) == 0
    assert count_unsent_bytes(None) == 0


# Guards against a look at a descriptor that another connection has by now.
def test_closed_transport_is_not_looked_at(connection):
    transport = connection[1]
    transport.abort()
    assert not look_at_connection(transport).is_open
    assert not look_at_connection(None).is_open


def test_kernel_fields_are_decoded():
    raw_bytes = struct.pack('=B51xI', 1, 1250)
    assert parse_tcp_info(raw_bytes) == ConnectionLook(
        client_end=None, last_received_age_s=1.25
    )
    assert parse_tcp_info(struct.pack('=B51xI', 1, 0)).is_open
    assert not parse_tcp_info(struct.pack('=B51xI', 8, 0)).is_open
    assert not parse_tcp_info(struct.pack('=B51xI', 7, 0)).is_open


# Guards against a look that takes a client which shut down only its sending
# side for one whose connection was reset, with bytes before the end unread or
# not, or the reverse.
@pytest.mark.parametrize('sent', [b'', b'request'])
def test_ends_of_a_client_are_distinguished(connection, sent):
    client, transport = connection
    transport.pause_reading()
    client.sendall(sent)
    client.shutdown(socket.SHUT_WR)
    look = look_at_connection(transport)
    assert look.client_end is ClientEnd.SENDING_SIDE_SHUT
    reset(client)
    assert look_at_connection(transport).client_end is ClientEnd.CLOSED


# Guards against the same where the kernel's state is a constant.
@pytest.mark.parametrize(
    ('end', 'seen'),
    [
        (lambda client: client.shutdown(socket.SHUT_WR), 'sending_side_shut'),
        (reset, 'closed'),
    ],
)
def test_ends_are_distinguished_without_the_state(
    connection, monkeypatch, end, seen
):
    client, transport = connection
    transport.pause_reading()
    established = struct.pack('=B51xI', 1, 0)
    monkeypatch.setattr(
        _client_connection, '_read_tcp_info', lambda _: established
    )
    end(client)
    assert look_at_connection(transport).client_end == seen
