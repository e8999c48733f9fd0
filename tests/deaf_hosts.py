"""Let emulated servers fall silent as hosts that accept nothing either."""

import asyncio
import contextlib
import socket

from aiohttp import web

from emulator.fleet import Fleet
from emulator.fleet_engine import FleetEngine

_FILLERS = 3


async def fall_deaf(
    fleet: Fleet, engine: FleetEngine, duration_s: float
) -> None:
    """Send and accept nothing for ``duration_s`` seconds, then go on.

    Connections that are kept stay open. The queue of the listening socket is
    full, so that the host drops what asks for a new connection.
    """
    host, _, port = engine.address.partition(':')
    runner = fleet.runners_by_address[engine.address]
    engine.silence.begin(duration_s)
    for site in tuple(runner.sites):
        site._server.close()  # noqa: SLF001
        runner._unreg_site(site)  # noqa: SLF001
    with contextlib.ExitStack() as sockets:
        listening = sockets.enter_context(socket.socket())
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, int(port)))
        listening.listen(0)
        for _ in range(_FILLERS):
            filler = sockets.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
        await asyncio.sleep(duration_s)
    await web.TCPSite(runner, host, int(port), reuse_address=True).start()
