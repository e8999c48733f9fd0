"""Follow the store's topics, directly or through a relaying VM."""

import asyncio
import math
from collections.abc import Collection, Sequence
from http import HTTPStatus

import aiohttp
import attrs
from result import Err, Ok, Result

from arbutusbay.clock import now_s
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.fleet import VMRegistration
from arbutusbay.logs import get_logger
from arbutusbay.node._catch_up import CatchUp
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._relay_api import RELAY_PATH
from arbutusbay.node._relay_messages import (
    ENCODED_CONTENT_TYPE,
    RelayResponse,
    encoded_response_from_bytes,
    encoding_parameters,
    position_parameters,
    relay_response_from_bytes,
)
from arbutusbay.node._topic_reader import TopicReader
from arbutusbay.node._topics import OperatorTopicState, ServersTopicState
from arbutusbay.platform import StoreClient
from arbutusbay.responses import WholeResponse, fetch_message
from arbutusbay.scheduling import (
    DirectRead,
    PeerRead,
    StoreSource,
    outdated_engines,
    rank_sources,
    relayed_data_time_s,
    source_name,
)

_LOG = get_logger('follower')
_SERVERS_POLL_INTERVAL_S = 0.9
_REVOCATION_WAIT_RATIO = 0.2
_REVOCATION_HOLD_RATIO = 0.12
_REVOCATION_SILENCE_RATIO = 0.16
_REVOCATION_AGE_RATIO = 0.52
_CONFIG_WAIT_RATIO = 0.2
_CONFIG_HOLD_RATIO = 0.15
_CONFIG_SILENCE_RATIO = 0.2
_CONFIG_AGE_RATIO = 0.6
_TRANSFER_RATIO = 0.8
_REVOCATION_AVOID_RATIO = 0.6
_MAX_STORE_FAILURES = 3
_MAX_RELAY_BYTES = 33_554_432
_SOURCE_CHECK_INTERVAL_S = 0.3
_MAX_ASKED_VMS = 3


@attrs.frozen(kw_only=True)
class FollowerTimings:
    """Hold the timeouts of the follower, in seconds.

    ``wait_s`` is the long-poll timeout of a read of the store, ``hold_s``
    that of a request to another VM. That VM may be silent for ``silence_s``
    longer, and as long between two parts of its response; the whole response
    may take ``transfer_s``. A source whose data is older than ``max_age_s``
    is not used again for ``avoid_s``.
    """

    wait_s: float
    hold_s: float
    silence_s: float
    transfer_s: float
    max_age_s: float
    avoid_s: float


def follower_timings_from_bounds(
    key_revocation_s: float, config_apply_s: float
) -> FollowerTimings:
    """Return timings that keep the bounds if two sources fail in a row.

    The bounds are ``key_revocation_s`` and ``config_apply_s``, in seconds.
    In normal operation no document is older than two long-poll timeouts of
    the store.
    """
    return FollowerTimings(
        wait_s=min(
            key_revocation_s * _REVOCATION_WAIT_RATIO,
            config_apply_s * _CONFIG_WAIT_RATIO,
        ),
        hold_s=min(
            key_revocation_s * _REVOCATION_HOLD_RATIO,
            config_apply_s * _CONFIG_HOLD_RATIO,
        ),
        silence_s=min(
            key_revocation_s * _REVOCATION_SILENCE_RATIO,
            config_apply_s * _CONFIG_SILENCE_RATIO,
        ),
        transfer_s=_TRANSFER_RATIO * min(key_revocation_s, config_apply_s),
        max_age_s=min(
            key_revocation_s * _REVOCATION_AGE_RATIO,
            config_apply_s * _CONFIG_AGE_RATIO,
        ),
        avoid_s=key_revocation_s * _REVOCATION_AVOID_RATIO,
    )


class TopicFollower:
    """Keep the topics up to date from the best available source.

    ``asked_for_naming`` names the VMs that were asked when the weights versions
    were named that this VM found at its start, ``unsure_vms`` those that have
    nothing to relay, as they start too.
    """

    def __init__(
        self,
        *,
        node_state: NodeState,
        store: StoreClient,
        session: aiohttp.ClientSession,
        operator_topic: OperatorTopicState,
        servers_topic: ServersTopicState,
    ) -> None:
        """Apply what is read to ``operator_topic`` and ``servers_topic``."""
        self.node_state = node_state
        self.timings = follower_timings_from_bounds(
            node_state.settings.bounds.key_revocation_s,
            node_state.settings.bounds.config_apply_s,
        )
        self.session = session
        self.operator_topic = operator_topic
        self.servers_topic = servers_topic
        self.operator_reader = TopicReader(
            topic_state=operator_topic,
            store=store,
            wait_s=self.timings.wait_s,
            read_interval_s=0,
        )
        self.servers_reader = TopicReader(
            topic_state=servers_topic,
            store=store,
            wait_s=0,
            read_interval_s=_SERVERS_POLL_INTERVAL_S,
        )
        self.catch_up = CatchUp(
            readers=tuple(
                TopicReader(
                    topic_state=topic, store=store, wait_s=0, read_interval_s=0
                )
                for topic in (operator_topic, servers_topic)
            )
        )
        self.backoff_until_s: dict[str, float] = {}
        self.unsure_vms: set[str] = set()
        self.source = ''
        self.asked_for_naming: set[str] = set()

    async def run(self) -> None:
        """Read from the best source until cancelled."""
        try:
            while True:
                await self._read_best_source()
        finally:
            await self.catch_up.stop()

    async def _read_best_source(self) -> None:
        source = self._choose_source()
        self._log_source_change(source)
        match source:
            case DirectRead():
                await self._read_store()
            case PeerRead(vm=vm) if self.node_state.lacks_past():
                await self._ask_for_past(vm)
            case PeerRead(vm=vm):
                await self._poll_vm(vm)

    def _choose_source(self) -> StoreSource:
        members = self.node_state.members
        sources = rank_sources(
            self.node_state.settings.name,
            members.vms(),
            members.absent(now_s()),
        )
        if self.node_state.lacks_past() and self.node_state.knows_verdicts():
            # Those that start as well answer at once that they lack it too.
            others = _peers_except(sources, self.unsure_vms)
            asked = self._first_available(others[:_MAX_ASKED_VMS])
            if asked is not None:
                return asked
            # No other VM is there that could hold what the store lost.
            self.node_state.has_asked_others = True
        if self._must_ask_for_naming():
            asked = self._first_available(
                _peers_except(sources, self.asked_for_naming)
            )
            if asked is not None:
                return asked
        return self._first_available(sources) or DirectRead()

    def _must_ask_for_naming(self) -> bool:
        """Return whether the naming times of other VMs are needed.

        A version that was found by the first read can be of any age.
        """
        if len(self.asked_for_naming) >= _MAX_ASKED_VMS:
            return False
        return any(
            math.isinf(target.published_s)
            and outdated_engines(
                self.node_state.engine_views.values(), model, target.version
            )
            for model, target in self.node_state.catalog.targets.items()
        )

    def _first_available(
        self, sources: Sequence[StoreSource]
    ) -> StoreSource | None:
        """Return the first source that has not failed lately."""
        moment_s = now_s()
        for source in sources:
            if self.backoff_until_s.get(source_name(source), 0) <= moment_s:
                return source
        return None

    def _log_source_change(self, source: StoreSource) -> None:
        name = source_name(source)
        if name == self.source:
            return
        _LOG.info(
            'source of configuration changed',
            fields={
                'source': name,
                'before': self.source,
                'config_age_ms': self.node_state.configuration_age_ms(),
            },
        )
        self.source = name

    async def _read_store(self) -> None:
        """Read the store until it keeps failing or a better source exists.

        Raise an unexpected error of a reader, which reads no further.
        """
        readers = (self.operator_reader, self.servers_reader)
        for reader in readers:
            reader.failures = 0
        tasks = [asyncio.create_task(reader.run()) for reader in readers]
        try:
            while self.operator_reader.failures < _MAX_STORE_FAILURES:
                ended, _ = await asyncio.wait(
                    tasks,
                    timeout=_SOURCE_CHECK_INTERVAL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in ended:
                    task.result()
                if not isinstance(self._choose_source(), DirectRead):
                    return
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        self._avoid_source('store')

    async def _ask_for_past(self, vm: VMRegistration) -> None:
        """Take all records of a VM in place of those of a restored store."""
        _LOG.info('asks for what the store lost', fields={'source': vm.name})
        for state in (self.operator_topic, self.servers_topic):
            state.forget()
        await self._poll_vm(vm)

    async def _poll_vm(self, vm: VMRegistration) -> None:
        sent_s = now_s()
        if self._must_ask_for_naming():
            self.asked_for_naming.add(vm.name)
        match await self._request_relay(vm):
            case Err(failure):
                _LOG.info(
                    'source failed',
                    fields={'source': vm.name, 'detail': failure.detail},
                )
                self._avoid_source(vm.name)
                self._catch_up_beside_next_source()
            case Ok(answer):
                self._apply_response(vm, answer, sent_s)

    def _catch_up_beside_next_source(self) -> None:
        """Read the store once, as the next VM may not respond either."""
        if self.node_state.lacks_past():
            return
        if isinstance(self._choose_source(), PeerRead):
            self.catch_up.begin()

    def _apply_response(
        self,
        vm: VMRegistration,
        answer: RelayResponse,
        sent_s: float,
    ) -> None:
        updates = (
            (self.operator_topic, answer.operator),
            (self.servers_topic, answer.servers),
        )
        for _, update in updates:
            self.node_state.observe_store_era(update.end.era)
        self._record_store_state(answer, sent_s)
        was_applied = [
            state.apply_records(
                update.records, update.end, is_complete=update.is_complete
            )
            for state, update in updates
        ]
        if not all(was_applied):
            _LOG.info(
                'source knows an earlier era of the store',
                fields={'source': vm.name},
            )
            self._avoid_source(vm.name)
            return
        self.node_state.has_asked_others = True
        self._merge_naming_times(answer, sent_s)
        as_of_s = relayed_data_time_s(sent_s, answer.held_s, answer.age_s)
        self.operator_topic.record_read(as_of_s)
        self.servers_topic.record_read(as_of_s)
        if answer.age_s > self.timings.max_age_s:
            _LOG.info(
                'source is behind',
                fields={
                    'source': vm.name,
                    'age_ms': int(answer.age_s * 1000),
                },
            )
            self._avoid_source(vm.name)

    def _merge_naming_times(self, answer: RelayResponse, sent_s: float) -> None:
        for model, ages_s in answer.naming_ages_s.items():
            self.node_state.catalog.merge_naming_times(
                model,
                {
                    version: relayed_data_time_s(sent_s, answer.held_s, age_s)
                    for version, age_s in ages_s.items()
                },
            )

    def _record_store_state(self, answer: RelayResponse, sent_s: float) -> None:
        """Record an outage of the store that a relay reports."""
        freshness = self.node_state.freshness
        ago_s = answer.store_returned_ago_s
        if ago_s is not None:
            end_s = relayed_data_time_s(sent_s, answer.held_s, ago_s)
            freshness.record_outage(end_s)
        if answer.store_failing_s:
            freshness.failed_reads.record_relayed_failure(
                answer.store_failing_s, sent_s + answer.held_s
            )

    def _allowed_hold_s(self) -> float:
        """Return how long a relay may hold a request, in seconds.

        While the local copy is too old, or lacks naming times, it must
        respond at once.
        """
        is_behind = self.node_state.freshness.age_s() > self.timings.max_age_s
        if is_behind or self._must_ask_for_naming():
            return 0
        return self.timings.hold_s

    async def _request_relay(
        self,
        vm: VMRegistration,
    ) -> Result[RelayResponse, Failure]:
        """Ask for encoded records, and as JSON if they can't be decoded."""
        history = self.operator_topic.payloads
        fetched = await self._fetch(
            vm, encoding_parameters(history.newest_digests())
        )
        match fetched:
            case Ok(response) if response.content_type == ENCODED_CONTENT_TYPE:
                decoded = encoded_response_from_bytes(response.body, history)
            case Ok(response):
                return relay_response_from_bytes(response.body)
            case Err(failure):
                return Err(failure)
        if isinstance(decoded, Ok):
            return decoded
        _LOG.warning(
            'encoded records refused: {}',
            decoded.err_value.detail,
            fields={'source': vm.name, 'bytes': len(response.body)},
        )
        match await self._fetch(vm, {}):
            case Ok(response):
                return relay_response_from_bytes(response.body)
            case Err(failure):
                return Err(failure)

    async def _fetch(
        self, vm: VMRegistration, encoding: dict[str, str]
    ) -> Result[WholeResponse, Failure]:
        hold_s = self._allowed_hold_s()
        call = self.session.get(
            f'http://{vm.address}{RELAY_PATH}',
            params={
                **position_parameters('operator', self.operator_topic.end),
                **position_parameters('servers', self.servers_topic.end),
                'hold_ms': str(int(hold_s * 1000)),
                **encoding,
            },
            timeout=self._timeout(hold_s),
        )
        match await fetch_message(call, _MAX_RELAY_BYTES):
            case Err(missing):
                return _peer_unreachable(missing.detail)
            case Ok(response) if response.status != HTTPStatus.OK:
                if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
                    self.unsure_vms.add(vm.name)
                return _peer_unreachable(f'status {response.status}')
            case Ok(response):
                return Ok(response)

    def _timeout(self, hold_s: float) -> aiohttp.ClientTimeout:
        """Return limits that end no response while parts of it arrive.

        A response that is broken off has to be sent again, by another VM.
        """
        return aiohttp.ClientTimeout(
            total=hold_s + self.timings.transfer_s,
            connect=self.timings.silence_s,
            sock_read=hold_s + self.timings.silence_s,
        )

    def _avoid_source(self, name: str) -> None:
        self.backoff_until_s[name] = now_s() + self.timings.avoid_s


def _peers_except(
    sources: Sequence[StoreSource], names: Collection[str]
) -> list[PeerRead]:
    """Return the VMs among ``sources`` that are not in ``names``."""
    return [
        source
        for source in sources
        if isinstance(source, PeerRead) and source.vm.name not in names
    ]


def _peer_unreachable(detail: str) -> Err[Failure]:
    return Err(Failure(kind=ErrorKind.PEER_UNREACHABLE, detail=detail))
