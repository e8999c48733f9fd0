"""Play troubles beside a configuration that changes all the while.

Two VMs serve orders, lookups and both kinds of stream on connections that are
kept. ``python -m tests.cells_beside_changes CELL SIGNAL SEED ...`` plays cells
by hand and prints what each one lost.
"""

import asyncio
import collections
import functools
import itertools
import random
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import MappingProxyType

import aiohttp
import attrs

from emulator.fleet import (
    SERVERS_TOPIC,
    Fleet,
    FleetNode,
    running_fleet,
    wait_for_condition,
)
from emulator.fleet_engine import EngineFault, FleetEngine
from emulator.scripted_response import ScriptedResponse
from tests.background_tasks import running
from tests.deaf_hosts import fall_deaf
from tests.fleet_builders import (
    MODEL,
    build_configuration,
    build_engine,
    build_plain_server,
    build_routes,
    build_teams,
    start_fleet,
    wait_until_ready,
)
from tests.kept_clients import KeptClient, Outcome
from tests.rule_counting import find_losses, read_log

LIMITS_BY_PATH = MappingProxyType(
    {'/order/1': 2.0, '/look/1': 2.0, '/ask/1': 5.0, '/note/1': 5.0}
)
_CHANGE_FROM_S = 0.12
_CHANGE_TO_S = 0.3
_STORM_S = 0.03
_SILENCE_S = 1.3
_CLIENTS_A_PATH = 3
_EVENTS = 14
_EVENT_S = 0.1
_SERVICE_S = 0.3
_APPLY_S = 2.2
_HANGUP_S = 0.3
_POLL_S = 0.05
_TERM_AFTER_S = 1.2
_DRAINED_S = 2.4
_LARGE_BYTES = 1_000_000
_MAX_BODY_BYTES = 4_194_304
_IDLE_MS = 1500
_MEMORY = '\n[limits]\nmemory_mb = 136\n'
_LIMITS = build_configuration()['limits']
_FATAL_PREFIX = 'aa01:400,dd04:300,ee01:200'


@attrs.define(kw_only=True)
class Play:
    """Hold the fleet, the clients and what a cell varies while it is played.

    ``head_bytes`` is how much clients add to their heads, ``body_bytes`` how
    long large bodies are, ``counts_from_s`` the moment of ``time.time`` from
    which requests count.
    """

    fleet: Fleet
    nodes: list[FleetNode]
    http: aiohttp.ClientSession
    rng: random.Random
    fixed_limits: dict = attrs.field(factory=lambda: dict(_LIMITS))
    head_bytes: int = 0
    body_bytes: int = _LARGE_BYTES
    counts_from_s: float = 0.0
    change_from_s: float = _CHANGE_FROM_S
    change_to_s: float = _CHANGE_TO_S
    versions: itertools.count = attrs.field(factory=lambda: itertools.count(2))

    def plain_servers(self) -> list[FleetEngine]:
        """Return the servers without a model that have not left."""
        return [
            engine for engine in self._present() if not engine.options.model
        ]

    def model_engines(self) -> list[FleetEngine]:
        """Return the model engines that have not left."""
        return [engine for engine in self._present() if engine.options.model]

    def configure(self, **changes) -> None:
        """Write a configuration within the limits that are in force."""
        fields = {'limits': dict(self.fixed_limits), **changes}
        self.fleet.configure(build_configuration(next(self.versions), **fields))

    def _present(self) -> list[FleetEngine]:
        return [
            engine
            for engine in self.fleet.engines
            if engine.address in self.fleet.runners_by_address
            and not engine.has_ended
        ]


def _with_routes(**changes) -> dict:
    return {'routes': [{**route, **changes} for route in build_routes()]}


_CHANGES = (
    {'routes': build_routes()[:2]},
    {'routes': build_routes()[2:]},
    _with_routes(kind='unsafe'),
    _with_routes(timeout_ms=60_000),
    _with_routes(max_attempts=1),
    {'tenants': build_teams(keys=('another-key',))},
    {'limits': {**_LIMITS, 'idle_timeout_ms': 100}},
    {
        'limits': {
            **_LIMITS,
            'max_header_bytes': 100,
            'max_body_bytes': 10,
            'header_timeout_ms': 10,
        }
    },
)


async def _change(play: Play) -> None:
    """Change the configuration and back, again and again."""
    for change in itertools.cycle(_CHANGES):
        for fields in (change, {}):
            play.configure(**fields)
            await asyncio.sleep(
                play.rng.uniform(play.change_from_s, play.change_to_s)
            )


async def _deaf_in_turn(play: Play) -> None:
    for number in itertools.count():
        kinds = (play.model_engines(), play.plain_servers())
        await asyncio.gather(
            *(
                fall_deaf(play.fleet, kind[number % len(kind)], _SILENCE_S)
                for kind in kinds
            )
        )
        await asyncio.sleep(play.rng.uniform(0.2, 0.5))


async def _deaf_engine_of_each(play: Play) -> None:
    for number in itertools.count():
        engines = (*play.model_engines(), *play.plain_servers())
        engine = engines[number % len(engines)]
        await fall_deaf(play.fleet, engine, _SILENCE_S)


async def _silent_in_turn(play: Play) -> None:
    for number in itertools.count():
        for kind in (play.model_engines(), play.plain_servers()):
            kind[number % len(kind)].silence.begin(_SILENCE_S)
        await asyncio.sleep(_SILENCE_S + play.rng.uniform(0.2, 0.5))


async def _release(play: Play) -> None:
    """Replace the engines and servers one after the other."""
    for number in itertools.count(10):
        for kind, build in (
            (play.model_engines(), _build_engine),
            (play.plain_servers(), _build_plain),
        ):
            staying = [engine for engine in kind if not engine.is_leaving]
            await play.fleet.add_engine(build(number))
            if len(staying) > 1:
                task = asyncio.create_task(_leave(play.fleet, staying[0]))
                play.fleet.tasks.add(task)
        await asyncio.sleep(1.0)


async def _leave(fleet: Fleet, engine: FleetEngine) -> None:
    engine.is_draining = True
    engine.is_leaving = True
    fleet.register(engine)
    await asyncio.sleep(_DRAINED_S)
    while engine.running:
        await asyncio.sleep(0.05)
    fleet.store.append_document(SERVERS_TOPIC, engine.options.id, None)
    await asyncio.sleep(0.2)
    await fleet.stop_engine(engine)


def _build_engine(number: int):
    return build_engine(number, events=_EVENTS, event_s=_EVENT_S)


def _build_plain(number: int):
    return attrs.evolve(build_plain_server(number), service_s=_SERVICE_S)


async def _name_weights(play: Play) -> None:
    for version in itertools.count(2):
        await asyncio.sleep(0.8)
        play.fleet.set_target_weights_version(MODEL, version)


async def _releases_weights_storm(play: Play) -> None:
    play.change_from_s = _STORM_S
    play.change_to_s = _STORM_S
    await asyncio.gather(
        _silent_in_turn(play), _release(play), _name_weights(play)
    )


async def _silence_and_releases(play: Play) -> None:
    await asyncio.gather(_silent_in_turn(play), _release(play))


async def _silence_and_weights(play: Play) -> None:
    await asyncio.gather(_silent_in_turn(play), _name_weights(play))


async def _restore_store(play: Play) -> None:
    while True:
        await asyncio.sleep(play.rng.uniform(0.5, 1.0))
        _restore(play)


def _restore(play: Play) -> None:
    ends = play.fleet.store.copy_ends()
    play.fleet.store.restore(
        {name: max(1, end - 3) for name, end in ends.items()}
    )
    for engine in (*play.model_engines(), *play.plain_servers()):
        play.fleet.register(engine)


async def _kill_all(play: Play) -> None:
    """Kill all VMs in a later era; requests count from readiness on."""
    play.counts_from_s = float('inf')
    _restore(play)
    await asyncio.sleep(play.rng.uniform(0.6, 1.0))
    for node in play.nodes:
        node.process.kill()
    for node in play.nodes:
        await node.process.wait()
    await asyncio.gather(*(node.start() for node in play.nodes))
    await wait_until_ready(play.nodes, play.http)
    play.counts_from_s = time.time()
    await asyncio.Event().wait()


async def _kill_all_and_restore(play: Play) -> None:
    await asyncio.gather(_kill_all(play), _restore_store(play))


async def _raise_head_limits(play: Play) -> None:
    """Raise the limit of heads, use it once it is in force, lower it."""
    for raised in itertools.cycle((40_000, 65_536)):
        play.fixed_limits['max_header_bytes'] = raised
        play.configure()
        await asyncio.sleep(_APPLY_S)
        play.head_bytes = raised - 1000
        await asyncio.sleep(1.0)
        play.head_bytes = 0
        await asyncio.sleep(0.3)
        play.fixed_limits['max_header_bytes'] = 16_384
        play.configure()
        await asyncio.sleep(0.4)


async def _crash_on_prompts(play: Play) -> None:
    while True:
        for engine in play.model_engines():
            engine.options.fatal_segments = frozenset(('dd04',))
        await asyncio.sleep(0.05)


async def _fill_memory(play: Play) -> None:
    """Let one plain server send without end and the others large answers."""
    faulty, *sound = play.plain_servers()
    while True:
        faulty.inject_fault(EngineFault.ENDLESS_BODY, 100)
        faulty.endless_bytes_sent = 0
        for engine in sound:
            while len(engine.scripted_responses) < 10:
                engine.scripted_responses.append(
                    ScriptedResponse(body=b'x' * play.body_bytes)
                )
        await asyncio.sleep(0.1)


async def _lower_idle_timeout(play: Play) -> None:
    """Lower and raise the idle timeout, never below what clients use."""
    for timeout_ms in itertools.cycle((_IDLE_MS, 15_000)):
        play.fixed_limits['idle_timeout_ms'] = timeout_ms
        await asyncio.sleep(play.rng.uniform(0.5, 1.5))


async def _nothing(play: Play) -> None:
    """Let the configuration change only."""


Trouble = Callable[[Play], Awaitable[None]]
CELLS: MappingProxyType[str, Trouble] = MappingProxyType(
    {
        'none': _nothing,
        'deaf': _deaf_in_turn,
        'deaf-cold': _deaf_in_turn,
        'deaf-one': _deaf_engine_of_each,
        'silence-releases': _silence_and_releases,
        'silence-weights': _silence_and_weights,
        'silence-all': _releases_weights_storm,
        'store': _restore_store,
        'kill': _kill_all,
        'kill-store': _kill_all_and_restore,
        'heads': _raise_head_limits,
        'crash': _crash_on_prompts,
        'memory': _fill_memory,
        'memory-4': _fill_memory,
        'idle': _lower_idle_timeout,
    }
)
_BODY_BYTES_BY_CELL = MappingProxyType(
    {'memory': _LARGE_BYTES, 'memory-4': _MAX_BODY_BYTES}
)
_COLD_CELLS = frozenset(('deaf-cold',))


async def _hang_up(play: Play) -> None:
    """Send SIGHUP to one VM while it is ready.

    A process that starts ends at it, see ``test_hangup_at_start``.
    """
    while True:
        if await play.nodes[0].is_ready(play.http):
            play.nodes[0].process.send_signal(signal.SIGHUP)
        await asyncio.sleep(_HANGUP_S)


async def _terminate(play: Play) -> None:
    """Stop one VM after the other and start it again."""
    for node in itertools.cycle(play.nodes):
        await asyncio.sleep(_TERM_AFTER_S)
        await node.stop(signal.SIGTERM)
        await node.start()
        await wait_until_ready([node], play.http)


SIGNALS: MappingProxyType[str, Trouble] = MappingProxyType(
    {'none': _nothing, 'hup': _hang_up, 'term': _terminate}
)


def _build_extra_headers(play: Play, cell: str, number: int) -> dict[str, str]:
    fields = {}
    if play.head_bytes and number == 0:
        fields['X-Padding'] = 'x' * play.head_bytes
    if cell == 'crash' and number == 1:
        fields['Prompt-Prefix'] = _FATAL_PREFIX
    return fields


def _build_clients(play: Play, cell: str) -> list[KeptClient]:
    changes = {}
    if cell in _BODY_BYTES_BY_CELL:
        changes['body'] = b'x' * play.body_bytes
    if cell == 'idle':
        changes['longest_pause_s'] = 0.8 * _IDLE_MS / 1000
    return [
        KeptClient(
            name=f'{node.name}{path.replace("/", "-")}-{number}',
            node=node,
            path=path,
            seed=play.rng.randrange(2**32),
            build_extra_headers=functools.partial(
                _build_extra_headers, play, cell, number
            ),
            **changes,
        )
        for node, path, number in itertools.product(
            play.nodes, LIMITS_BY_PATH, range(_CLIENTS_A_PATH)
        )
    ]


async def _start(fleet: Fleet, http, cell: str, rng) -> Play:
    nodes = await start_fleet(
        fleet, engines=3, plain=3, nodes=2, events=_EVENTS, event_s=_EVENT_S
    )
    for engine in fleet.engines[3:]:
        engine.options.service_s = _SERVICE_S
    play = Play(fleet=fleet, nodes=nodes, http=http, rng=rng)
    body_bytes = _BODY_BYTES_BY_CELL.get(cell)
    if body_bytes is not None:
        play.body_bytes = body_bytes
        play.fixed_limits['max_body_bytes'] = _MAX_BODY_BYTES
        play.configure()
        for node in nodes:
            await node.stop(signal.SIGKILL)
            with node.settings_path.open('a') as settings:
                settings.write(_MEMORY)
            await node.start()
    await wait_until_ready(nodes, http)
    return play


async def play_cell(
    fleet: Fleet,
    http: aiohttp.ClientSession,
    *,
    cell: str,
    sent_signal: str = 'none',
    seed: int = 1,
    duration_s: float = 4.0,
    changes: bool = True,
) -> tuple[list[Outcome], list[Outcome]]:
    """Return what all clients got and which of it counts as lost."""
    play = await _start(fleet, http, cell, random.Random(seed))
    clients = _build_clients(play, cell)
    requests = []
    if cell not in _COLD_CELLS:
        requests = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(0.5)
    troubles = [CELLS[cell](play), SIGNALS[sent_signal](play)]
    if changes:
        troubles.append(_change(play))
    async with running(*troubles):
        await asyncio.sleep(_POLL_S)
        if not requests:
            requests = [asyncio.create_task(client.run()) for client in clients]
        await wait_for_condition(
            lambda: play.counts_from_s < float('inf'), 'requests count'
        )
        await asyncio.sleep(duration_s)
        for client in clients:
            client.is_stopping = True
        await asyncio.gather(*requests)
    outcomes = [
        outcome
        for client in clients
        for outcome in client.outcomes
        if outcome.sent_s >= play.counts_from_s
    ]
    return outcomes, find_losses(fleet, outcomes, LIMITS_BY_PATH)


async def _play_by_hand(
    cell: str, sent_signal: str, seed: int, duration_s: float, changes: bool
) -> None:
    directory = Path(tempfile.mkdtemp(prefix=f'{cell}-{sent_signal}-{seed}-'))
    connector = aiohttp.TCPConnector(force_close=True, limit=0)
    async with (
        aiohttp.ClientSession(connector=connector) as http,
        running_fleet(directory) as fleet,
    ):
        outcomes, losses = await play_cell(
            fleet,
            http,
            cell=cell,
            sent_signal=sent_signal,
            seed=seed,
            duration_s=duration_s,
            changes=changes,
        )
        statuses = collections.Counter(
            outcome.status if outcome.is_whole else f'cut {outcome.status}'
            for outcome in outcomes
        )
        print(  # noqa: WPS421
            f'{cell}\t{sent_signal}\t{seed}\t{len(outcomes)}\t{len(losses)}\t'
            f'{dict(statuses)}\t{directory}',
            flush=True,
        )
        for loss in losses:
            print(f'  {loss}')  # noqa: WPS421
            for line in read_log(fleet, loss.attempt_id):
                print(f'    {line}')  # noqa: WPS421


def main() -> None:
    """Play the cell with the signal and the seeds of the command line."""
    cell, sent_signal, *seeds = sys.argv[1:]
    for seed in seeds:
        asyncio.run(
            _play_by_hand(cell, sent_signal, int(seed), 4.0, changes=True)
        )


if __name__ == '__main__':
    main()
