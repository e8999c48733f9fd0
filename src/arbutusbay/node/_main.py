"""Start the daemon of one VM: settings, logs, servers, controllers."""

import argparse
import asyncio
import signal
import sys
import time
from collections.abc import Coroutine, Sequence
from pathlib import Path
from typing import Any

import uvloop
from aiohttp import web
from result import Err, Ok

from arbutusbay.fleet import VMRecord
from arbutusbay.logs import LineWriter, get_logger, setup_nonblocking_logs
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._connections import new_checked_session
from arbutusbay.node._control_api import ControlApi
from arbutusbay.node._dispatcher import Dispatcher
from arbutusbay.node._follower import Follower
from arbutusbay.node._frontend import Frontend
from arbutusbay.node._lease import Lease
from arbutusbay.node._metrics import NodeMetrics
from arbutusbay.node._peers import PeerChannel
from arbutusbay.node._placer import Placer
from arbutusbay.node._relay_api import RelayApi
from arbutusbay.node._registration import register
from arbutusbay.node._rollout import Rollout
from arbutusbay.node._server_views import ServerViews
from arbutusbay.node._shutdown import drain
from arbutusbay.node._silence_watch import SilenceWatch
from arbutusbay.node._topics import OperatorTopic, ServersTopic
from arbutusbay.platform import (
    Endpoint,
    StoreClient,
    VMSettings,
    read_settings,
    settings_path,
)

_LOG = get_logger('daemon')
_EXIT_SETTINGS = 2
_IDLE_CLIENT_S = 15.0
_BACKLOG = 512
_MAX_HEAD_LINE_BYTES = 16_384
_MAX_HEADERS = 256
_FLUSH_INTERVAL_S = 0.2


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon until a signal stops it; return the exit code."""
    options = _parse(arguments)
    path = options.settings or settings_path()
    match read_settings(path):
        case Err(failure):
            sys.stderr.write(f'arbutusbay-node: {failure.detail}\n')
            return _EXIT_SETTINGS
        case Ok(settings):
            pass
    if options.check:
        sys.stdout.write(f'arbutusbay-node: {path} is valid\n')
        return 0
    writer = setup_nonblocking_logs(level='INFO', process=settings.name)
    uvloop.run(_serve(settings, writer))
    return 0


def _parse(arguments: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog='arbutusbay-node',
        description='Route requests on one VM of the platform.',
    )
    parser.add_argument(
        '--settings',
        type=Path,
        metavar='FILE.toml',
        help='settings file; by default the one that the platform names',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='check the settings and exit',
    )
    return parser.parse_args(arguments)


async def _serve(settings: VMSettings, writer: LineWriter) -> None:
    _LOG.info('start', fields={'vm': settings.name, 'zone': settings.zone})
    daemon = _Daemon(settings=settings, writer=writer)
    await daemon.run()
    _LOG.info('stop', fields={'vm': settings.name})
    writer.flush()


class _Daemon:
    """Compose the parts of the daemon and run them."""

    def __init__(self, *, settings: VMSettings, writer: LineWriter) -> None:
        """Build all parts for ``settings``."""
        self.settings = settings
        self.writer = writer
        self.board = NodeBoard(settings=settings)
        self.session = new_checked_session()
        self.store = StoreClient(
            address=str(settings.store),
            session=self.session,
        )
        self.metrics = NodeMetrics()
        self.me = VMRecord(
            name=settings.name,
            address=f'{settings.ip}:{settings.peer_ports[0]}',
            zone=settings.zone,
            started_ms=int(time.time() * 1000),
        )
        self.peers = PeerChannel(board=self.board, me=self.me)
        self.views = ServerViews(board=self.board)
        self.operator = OperatorTopic(board=self.board)
        self.servers = ServersTopic(board=self.board, views=self.views)
        self.board.catalog.vms[self.me.name] = self.me
        self.placer = Placer(board=self.board)
        self.dispatcher = Dispatcher(board=self.board, placer=self.placer)
        self.watch = SilenceWatch(board=self.board)
        self.lease = Lease(
            name='weights',
            holder=settings.name,
            board=self.board,
            store=self.store,
        )
        self.stop = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Serve until a signal, then drain."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop.set)
        loop.add_signal_handler(signal.SIGINT, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._note_reload)
        frontend, servers = await self._listen()
        self._start_controllers()
        await self.stop.wait()
        await drain(self.board, frontend, self.settings.bounds.grace_s)
        for task in self.tasks:
            task.cancel()
        for server in servers:
            server.close()
        await self.session.close()

    async def _listen(self) -> tuple[web.Server, list[asyncio.Server]]:
        frontend = Frontend(
            board=self.board,
            placer=self.placer,
            dispatcher=self.dispatcher,
            session=self.session,
            watch=self.watch,
            metrics=self.metrics,
        )
        control = ControlApi(
            board=self.board,
            metrics=self.metrics,
            store=self.store,
            writer=self.writer,
        )
        clients = web.Server(
            frontend.handle,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=_IDLE_CLIENT_S,
            max_line_size=_MAX_HEAD_LINE_BYTES,
            max_field_size=_MAX_HEAD_LINE_BYTES,
            max_headers=_MAX_HEADERS,
            auto_decompress=False,
        )
        operators = web.Server(control.handle, access_log=None)
        servers = [
            await _listen_on(self.settings.frontend, clients),
            await _listen_on(self.settings.readiness, operators),
        ]
        if self.settings.control is not None:
            servers.append(await _listen_on(self.settings.control, operators))
        relay = RelayApi(
            board=self.board,
            operator=self.operator,
            servers=self.servers,
        )
        peer_endpoint = Endpoint(
            host=self.settings.ip,
            port=self.settings.peer_ports[0],
        )
        peers = web.Server(relay.handle, access_log=None)
        servers.append(await _listen_on(peer_endpoint, peers))
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self.peers,
            local_addr=(self.settings.ip, self.settings.peer_ports[0]),
        )
        return clients, servers

    def _start_controllers(self) -> None:
        follower = Follower(
            board=self.board,
            store=self.store,
            session=self.session,
            operator=self.operator,
            servers=self.servers,
        )
        rollout = Rollout(
            board=self.board,
            lease=self.lease,
            peers=self.peers,
            views=self.views,
            session=self.session,
        )
        self._start('follower', follower.run())
        self._start('dispatcher', self.dispatcher.run())
        self._start('silence', self.watch.run())
        self._start('rollout', rollout.run())
        self._start('peers', self.peers.run())
        self._start(
            'registration',
            register(self.board, self.store, self.me),
        )
        self._start('logs', _flush_forever(self.writer))

    def _start(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work, name=name)
        self.tasks.add(task)
        task.add_done_callback(self._note_end)

    def _note_end(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        _LOG.error(
            'controller ended, the process stops',
            fields={
                'controller': task.get_name(),
                'error': repr(task.exception()),
            },
        )
        self.stop.set()

    def _note_reload(self) -> None:
        match read_settings(settings_path()):
            case Err(failure):
                _LOG.warning('reload refused: {}', failure.detail)
            case Ok(settings):
                _LOG.info(
                    'reload',
                    fields={'changed': settings != self.settings},
                )


async def _listen_on(endpoint: Endpoint, server: web.Server) -> asyncio.Server:
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        server,
        endpoint.host,
        endpoint.port,
        backlog=_BACKLOG,
        reuse_address=True,
    )


async def _flush_forever(writer: LineWriter) -> None:
    while True:
        await asyncio.sleep(_FLUSH_INTERVAL_S)
        writer.flush()
