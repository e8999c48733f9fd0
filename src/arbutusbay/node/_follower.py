"""Learn what the store holds, from the store or from another VM."""

import asyncio
from http import HTTPStatus

import aiohttp
import attrs
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.fleet import VMRecord
from arbutusbay.logs import get_logger
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._clock import now_s
from arbutusbay.node._relay_api import RELAY_PATH
from arbutusbay.node._relay_messages import (
    RelayAnswer,
    relay_answer_from_bytes,
)
from arbutusbay.node._store_reader import TopicReader
from arbutusbay.node._topics import OperatorTopic, ServersTopic
from arbutusbay.platform import StoreClient
from arbutusbay.scheduling import (
    FollowVM,
    ReadStore,
    Source,
    relayed_as_of_s,
    source_name,
    sources_in_order,
)

_LOG = get_logger('follower')
_SERVERS_PAUSE_S = 0.9
_ANSWER_S = 0.4
_WAIT_SHARE = 0.2
_HOLD_SHARE = 0.12
_AGE_SHARE = 0.52
_CONFIG_WAIT_SHARE = 0.2
_CONFIG_HOLD_SHARE = 0.15
_CONFIG_AGE_SHARE = 0.6
_AVOID_SHARE = 0.6
_SILENT_S = 3.0
_STORE_FAILURES = 3
_LAST_RESORT_PAUSE_S = 0.3


@attrs.frozen(kw_only=True)
class FollowTimes:
    """Hold the times of following, in seconds.

    ``wait_s`` is how long a read of the store may wait, ``hold_s`` how
    long a call to another VM; a source whose answers are older than
    ``max_age_s`` is avoided for ``avoid_s``.
    """

    wait_s: float
    hold_s: float
    max_age_s: float
    avoid_s: float


def times_from_bounds(revocation_s: float, config_s: float) -> FollowTimes:
    """Return times that leave room for two sources to fail in turn.

    In normal work nothing is older than two reads of the store may wait.
    """
    return FollowTimes(
        wait_s=min(
            revocation_s * _WAIT_SHARE,
            config_s * _CONFIG_WAIT_SHARE,
        ),
        hold_s=min(
            revocation_s * _HOLD_SHARE,
            config_s * _CONFIG_HOLD_SHARE,
        ),
        max_age_s=min(
            revocation_s * _AGE_SHARE,
            config_s * _CONFIG_AGE_SHARE,
        ),
        avoid_s=revocation_s * _AVOID_SHARE,
    )


class Follower:
    """Keep the topics up to date from the best source that works."""

    def __init__(
        self,
        *,
        board: NodeBoard,
        store: StoreClient,
        session: aiohttp.ClientSession,
        operator: OperatorTopic,
        servers: ServersTopic,
    ) -> None:
        """Fold into ``operator`` and ``servers``."""
        self.board = board
        self.times = times_from_bounds(
            board.settings.bounds.revocation_s,
            board.settings.bounds.config_s,
        )
        self.session = session
        self.operator = operator
        self.servers = servers
        self.operator_reader = TopicReader(
            state=operator,
            store=store,
            wait_s=self.times.wait_s,
            pause_s=0,
        )
        self.servers_reader = TopicReader(
            state=servers,
            store=store,
            wait_s=0,
            pause_s=_SERVERS_PAUSE_S,
        )
        self.avoid_until_s: dict[str, float] = {}
        self.source = ''

    async def run(self) -> None:
        """Learn until cancelled."""
        while True:
            source = self._choose()
            self._note(source)
            match source:
                case ReadStore():
                    await self._read_store()
                case FollowVM(vm=vm):
                    await self._follow(vm)

    def _choose(self) -> Source:
        moment_s = now_s()
        sources = sources_in_order(
            self.board.settings.name,
            self.board.catalog.vms,
            self.board.silent_vms(_SILENT_S),
        )
        for source in sources:
            if self.avoid_until_s.get(source_name(source), 0) <= moment_s:
                return source
        return ReadStore()

    def _note(self, source: Source) -> None:
        name = source_name(source)
        if name == self.source:
            return
        _LOG.info(
            'source of configuration changed',
            fields={
                'source': name,
                'before': self.source,
                'config_age_ms': self.board.age_ms(),
            },
        )
        self.source = name

    async def _read_store(self) -> None:
        """Read the store until it fails or a better source is there."""
        readers = (self.operator_reader, self.servers_reader)
        for reader in readers:
            reader.failures = 0
        tasks = [asyncio.create_task(reader.run()) for reader in readers]
        try:
            while self.operator_reader.failures < _STORE_FAILURES:
                await asyncio.sleep(_LAST_RESORT_PAUSE_S)
                if not isinstance(self._choose(), ReadStore):
                    return
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        self._avoid('store')

    async def _follow(self, vm: VMRecord) -> None:
        sent_s = now_s()
        match await self._ask(vm):
            case Err(failure):
                _LOG.info(
                    'source failed',
                    fields={'source': vm.name, 'detail': failure.detail},
                )
                self._avoid(vm.name)
            case Ok(answer):
                self._take_up(vm, answer, sent_s)

    def _take_up(
        self,
        vm: VMRecord,
        answer: RelayAnswer,
        sent_s: float,
    ) -> None:
        as_of_s = relayed_as_of_s(sent_s, answer.held_s, answer.age_s)
        self.operator.put_read(as_of_s)
        for state, news in (
            (self.operator, answer.operator),
            (self.servers, answer.servers),
        ):
            state.put(news.records, news.end, is_whole=news.is_whole)
        self.servers.put_read(as_of_s)
        if answer.age_s > self.times.max_age_s:
            _LOG.info(
                'source is behind',
                fields={
                    'source': vm.name,
                    'age_ms': int(answer.age_s * 1000),
                },
            )
            self._avoid(vm.name)

    def _hold_s(self) -> float:
        """Return how long a call may wait: not at all while behind."""
        is_behind = self.board.freshness.age_s() > self.times.max_age_s
        return 0 if is_behind else self.times.hold_s

    async def _ask(self, vm: VMRecord) -> Result[RelayAnswer, Failure]:
        hold_s = self._hold_s()
        try:
            async with self.session.get(
                f'http://{vm.address}{RELAY_PATH}',
                params={
                    'operator': _offset_text(self.operator.end),
                    'servers': _offset_text(self.servers.end),
                    'hold_ms': str(int(hold_s * 1000)),
                },
                timeout=aiohttp.ClientTimeout(total=hold_s + _ANSWER_S),
            ) as response:
                body = await response.read()
                status = response.status
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            return _unreachable(repr(error))
        if status != HTTPStatus.OK:
            return _unreachable(f'status {status}')
        return relay_answer_from_bytes(body)

    def _avoid(self, name: str) -> None:
        self.avoid_until_s[name] = now_s() + self.times.avoid_s


def _offset_text(offset: int | None) -> str:
    return str(-1 if offset is None else offset)


def _unreachable(detail: str) -> Err[Failure]:
    return Err(Failure(kind=ErrorKind.PEER_UNREACHABLE, detail=detail))
