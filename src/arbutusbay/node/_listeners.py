"""Open the addresses on which the daemon serves."""

import asyncio

import attrs
from aiohttp import web

from arbutusbay.node._parts import NodeParts
from arbutusbay.platform import Endpoint, VMSettings

_IDLE_CLIENT_S = 15.0
_BACKLOG = 512
_MAX_HEAD_LINE_BYTES = 16_384
_MAX_HEADERS = 256


@attrs.frozen(kw_only=True)
class Listeners:
    """Hold what is open; ``clients`` knows the connections of clients."""

    clients: web.Server
    servers: tuple[asyncio.Server, ...]

    def close(self) -> None:
        """Stop listening."""
        for server in self.servers:
            server.close()


async def open_listeners(settings: VMSettings, parts: NodeParts) -> Listeners:
    """Listen for clients, the platform, operators and other VMs."""
    clients = web.Server(
        parts.frontend.answer,
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=_IDLE_CLIENT_S,
        max_line_size=_MAX_HEAD_LINE_BYTES,
        max_field_size=_MAX_HEAD_LINE_BYTES,
        max_headers=_MAX_HEADERS,
        auto_decompress=False,
    )
    operators = web.Server(parts.control.answer, access_log=None)
    peers = web.Server(parts.relay.answer, access_log=None)
    peer_endpoint = Endpoint(host=settings.ip, port=settings.peer_ports[0])
    served = [
        (settings.frontend, clients),
        (settings.readiness, operators),
        (peer_endpoint, peers),
    ]
    if settings.control is not None:
        served.append((settings.control, operators))
    servers = [
        await _listen_on(endpoint, server) for endpoint, server in served
    ]
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(
        lambda: parts.peers,
        local_addr=(peer_endpoint.host, peer_endpoint.port),
    )
    return Listeners(clients=clients, servers=tuple(servers))


async def _listen_on(endpoint: Endpoint, server: web.Server) -> asyncio.Server:
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        server,
        endpoint.host,
        endpoint.port,
        backlog=_BACKLOG,
        reuse_address=True,
    )
