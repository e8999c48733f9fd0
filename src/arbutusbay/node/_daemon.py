"""Run the node daemon until a signal, then drain it."""

import asyncio
import functools
import signal
from collections.abc import Callable, Coroutine
from typing import Any

from result import Err, Ok

from arbutusbay.held_bytes import limit_held_bytes
from arbutusbay.logs import NonblockingLineWriter, get_logger
from arbutusbay.node._components import NodeComponents
from arbutusbay.node._http_client import create_client_session
from arbutusbay.node._idle_connections import IdleConnections
from arbutusbay.node._listeners import open_listeners
from arbutusbay.node._pause_monitor import run_pause_monitor
from arbutusbay.node._registration import (
    run_registration,
    withdraw_registration,
)
from arbutusbay.node._shutdown import drain_connections
from arbutusbay.node._store_checks import StoreChecker
from arbutusbay.platform import (
    VMSettings,
    read_settings,
    settings_path_from_environment,
)
from arbutusbay.reader_budget import limit_unread_bytes

_LOG = get_logger('daemon')
_FLUSH_INTERVAL_S = 0.2
_RESTART_DELAY_S = 0.5


async def serve(
    settings: VMSettings, log_writer: NonblockingLineWriter
) -> None:
    """Serve until SIGTERM or SIGINT, then finish requests in progress."""
    _LOG.info('start', fields={'vm': settings.name, 'zone': settings.zone})
    if settings.memory_bytes is not None:
        limit_held_bytes(settings.memory_bytes)
        limit_unread_bytes(settings.memory_bytes)
    async with (
        create_client_session() as session,
        create_client_session(reuse_connections=False) as order_session,
    ):
        components = NodeComponents(
            settings=settings,
            session=session,
            order_session=order_session,
            log_writer=log_writer,
        )
        await _serve_components(components, settings, log_writer)
    _LOG.info('stop', fields={'vm': settings.name})
    log_writer.flush()


async def _serve_components(
    components: NodeComponents,
    settings: VMSettings,
    log_writer: NonblockingLineWriter,
) -> None:
    supervisor = Supervisor(settings=settings)
    supervisor.install_signal_handlers()
    listeners = await open_listeners(settings, components)
    idle_connections = IdleConnections(server=listeners.client_server)
    _start_background_tasks(supervisor, components, log_writer)
    supervisor.start('connections', idle_connections.run)
    await supervisor.stop_requested.wait()
    supervisor.replace(
        'registration',
        functools.partial(
            withdraw_registration,
            components.node_state,
            components.store,
            components.own_vm,
        ),
    )
    await drain_connections(
        components.node_state,
        components.dispatcher,
        idle_connections,
        settings.bounds.shutdown_grace_s,
    )
    supervisor.cancel()
    listeners.close()


class Supervisor:
    """Run background tasks until a signal, and restart those that end."""

    def __init__(self, *, settings: VMSettings) -> None:
        """Compare the settings file with ``settings`` on each reload."""
        self.settings = settings
        self.stop_requested = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []

    def install_signal_handlers(self) -> None:
        """Stop on SIGTERM and SIGINT; check the settings file on SIGHUP.

        A reload only logs whether the file has changed: new settings take
        effect when the process is restarted.
        """
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)

    def start(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a background task until the process stops.

        ``run`` is called again after a pause whenever the task fails or
        returns, so that one unexpected error does not end the process.
        """
        self.tasks.append(
            asyncio.create_task(self._keep_running(name, run), name=name)
        )

    def replace(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Cancel the background task ``name`` and run another one once."""
        for task in self.tasks:
            if task.get_name() == name:
                task.cancel()
        self.tasks.append(
            asyncio.create_task(self._run_once(name, run), name=name)
        )

    def cancel(self) -> None:
        """Cancel all background tasks."""
        for task in self.tasks:
            task.cancel()

    async def _keep_running(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        while True:
            try:
                await run()
            except Exception:
                _LOG.exception(
                    'background task failed; restarting',
                    fields={'controller': name},
                )
            else:
                _LOG.error(
                    'background task returned; restarting',
                    fields={'controller': name},
                )
            await asyncio.sleep(_RESTART_DELAY_S)

    async def _run_once(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        try:
            await run()
        except Exception:
            _LOG.exception(
                'background task failed', fields={'controller': name}
            )

    def _reload_settings(self) -> None:
        match read_settings(settings_path_from_environment()):
            case Err(failure):
                _LOG.warning('settings reload rejected: {}', failure.detail)
            case Ok(settings):
                is_changed = settings != self.settings
                _LOG.info('reload', fields={'changed': is_changed})


def _start_background_tasks(
    supervisor: Supervisor,
    components: NodeComponents,
    log_writer: NonblockingLineWriter,
) -> None:
    tasks: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
        'follower': components.follower.run,
        'servers': components.server_registry.run,
        'dispatcher': components.dispatcher.run,
        'silence': components.stall_detector.run,
        'cache stores': StoreChecker(
            node_state=components.node_state, session=components.store.session
        ).run,
        'quarantine': components.quarantine.run,
        'verdicts': components.verdict_recorder.run,
        'rollout': components.rollout.run,
        'peers': components.peer_channel.run,
        'quotas': components.share_renewals.run,
        'registration': functools.partial(
            run_registration,
            components.node_state,
            components.store,
            components.own_vm,
        ),
        'pause': functools.partial(run_pause_monitor, components.node_state),
        'logs': functools.partial(_flush_periodically, log_writer),
    }
    for name, run in tasks.items():
        supervisor.start(name, run)


async def _flush_periodically(log_writer: NonblockingLineWriter) -> None:
    while True:
        await asyncio.sleep(_FLUSH_INTERVAL_S)
        log_writer.flush()
