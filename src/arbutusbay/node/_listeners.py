"""Open the listening sockets of the daemon."""

import asyncio
import contextlib
import functools
from collections.abc import Callable

import attrs
from aiohttp import web

from arbutusbay.node._client_protocol import ClientProtocol
from arbutusbay.node._components import NodeComponents
from arbutusbay.platform import Endpoint, VMSettings

_LISTEN_BACKLOG = 512


@attrs.frozen(kw_only=True)
class Listeners:
    """Hold the open listening sockets.

    ``client_server`` is the HTTP server for clients and tracks their
    connections. ``open_sockets`` closes what was opened.
    """

    client_server: web.Server
    open_sockets: contextlib.ExitStack

    def close(self) -> None:
        """Close the listening sockets; open connections stay open."""
        self.open_sockets.close()


async def open_listeners(
    settings: VMSettings, components: NodeComponents
) -> Listeners:
    """Listen for clients, the platform, operators and other VMs.

    The readiness and control endpoints share one HTTP server. Other VMs are
    served over HTTP and UDP on the same port. Raises ``OSError`` if an
    address can't be bound; no socket stays open then.
    """
    client_server = _new_client_server(components)
    control_server = web.Server(
        components.control_api.handle_request, access_log=None
    )
    peer_server = web.Server(
        components.relay_api.handle_request, access_log=None
    )
    peer_endpoint = Endpoint(host=settings.ip, port=settings.peer_ports[0])
    bindings = [
        (
            settings.frontend,
            functools.partial(
                ClientProtocol, client_server, node_state=components.node_state
            ),
        ),
        (settings.readiness_endpoint, control_server),
        (peer_endpoint, peer_server),
    ]
    if settings.control is not None:
        bindings.append((settings.control, control_server))
    with contextlib.ExitStack() as open_sockets:
        for endpoint, server in bindings:
            listener = await _create_listener(endpoint, server)
            open_sockets.enter_context(contextlib.closing(listener))
        open_sockets.enter_context(
            contextlib.closing(
                await _open_peer_channel(components, peer_endpoint)
            )
        )
        return Listeners(
            client_server=client_server, open_sockets=open_sockets.pop_all()
        )


def _new_client_server(components: NodeComponents) -> web.Server:
    return web.Server(
        components.frontend.handle_request,
        handler_cancellation=True,
    )


async def _create_listener(
    endpoint: Endpoint, new_protocol: Callable[[], asyncio.Protocol]
) -> asyncio.Server:
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        new_protocol,
        endpoint.host,
        endpoint.port,
        backlog=_LISTEN_BACKLOG,
        reuse_address=True,
    )


async def _open_peer_channel(
    components: NodeComponents, endpoint: Endpoint
) -> asyncio.BaseTransport:
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: components.peer_channel,
        local_addr=(endpoint.host, endpoint.port),
    )
    return transport
