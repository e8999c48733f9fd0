"""Run the parts of the daemon until a signal, then drain."""

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any

from result import Err, Ok

from arbutusbay.logs import LineWriter, get_logger
from arbutusbay.node._connections import new_checked_session
from arbutusbay.node._listeners import open_listeners
from arbutusbay.node._parts import NodeParts
from arbutusbay.node._registration import register
from arbutusbay.node._shutdown import drain
from arbutusbay.platform import VMSettings, read_settings, settings_path

_LOG = get_logger('daemon')
_FLUSH_INTERVAL_S = 0.2


async def serve(settings: VMSettings, writer: LineWriter) -> None:
    """Serve until SIGTERM or SIGINT and finish what is in progress."""
    _LOG.info('start', fields={'vm': settings.name, 'zone': settings.zone})
    async with new_checked_session() as session:
        parts = NodeParts(settings=settings, session=session, writer=writer)
        await _serve_parts(parts, settings, writer)
    _LOG.info('stop', fields={'vm': settings.name})
    writer.flush()


async def _serve_parts(
    parts: NodeParts,
    settings: VMSettings,
    writer: LineWriter,
) -> None:
    supervisor = Supervisor(settings=settings)
    supervisor.listen_to_signals()
    listeners = await open_listeners(settings, parts)
    _start_controllers(supervisor, parts, writer)
    await supervisor.stop.wait()
    await drain(parts.board, listeners.clients, settings.bounds.grace_s)
    supervisor.cancel()
    listeners.close()


class Supervisor:
    """Run controllers; a signal or a controller that ends stops all."""

    def __init__(self, *, settings: VMSettings) -> None:
        """Compare ``settings`` with the file when it is read again."""
        self.settings = settings
        self.stop = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()

    def listen_to_signals(self) -> None:
        """Stop on SIGTERM and SIGINT, read the settings on SIGHUP."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop.set)
        loop.add_signal_handler(signal.SIGINT, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    def start(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        """Run a controller until the process stops."""
        task = asyncio.create_task(work, name=name)
        self.tasks.add(task)
        task.add_done_callback(self._note_end)

    def cancel(self) -> None:
        """End all controllers."""
        for task in self.tasks:
            task.cancel()

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

    def _reload(self) -> None:
        match read_settings(settings_path()):
            case Err(failure):
                _LOG.warning('reload refused: {}', failure.detail)
            case Ok(settings):
                is_changed = settings != self.settings
                _LOG.info('reload', fields={'changed': is_changed})


def _start_controllers(
    supervisor: Supervisor,
    parts: NodeParts,
    writer: LineWriter,
) -> None:
    controllers = {
        'follower': parts.follower.run(),
        'dispatcher': parts.dispatcher.run(),
        'silence': parts.watch.run(),
        'rollout': parts.rollout.run(),
        'peers': parts.peers.run(),
        'registration': register(parts.board, parts.store, parts.me),
        'logs': _flush_forever(writer),
    }
    for name, work in controllers.items():
        supervisor.start(name, work)


async def _flush_forever(writer: LineWriter) -> None:
    while True:
        await asyncio.sleep(_FLUSH_INTERVAL_S)
        writer.flush()
