"""Send one VM the load reports that it gets in a large fleet."""

import asyncio
import random
from collections.abc import Sequence
from typing import Any

import attrs

from arbutusbay.hashing import rank_by_rendezvous_hash
from arbutusbay.node._peer_messages import (
    PeerState,
    ZoneLoad,
    peer_state_to_bytes,
)
from arbutusbay.scheduling import (
    Occupancy,
    WorkTotals,
    zone_report_interval_s,
)

_TURN_S = 0.01
_HEARTBEATS_PER_S = 20
_ZONE_LOADS_PER_S = 4
_ENGINES_IN_USE = 4
_AGGREGATORS = 3
_MAX_WORK_TOKENS = 60_000
_MAX_ATTEMPTS = 24
_TOKENS = 3000


@attrs.frozen(kw_only=True)
class PeerFleet:
    """Name the VMs that send reports and the engines that they use.

    ``zone_peers`` are those of the own zone; the first of them is the
    aggregator that forwards the totals of the zones ``other_zones``.
    """

    zone: str
    zone_peers: Sequence[str]
    remote_peers: Sequence[str]
    other_zones: Sequence[str]
    engine_ids: Sequence[str]


class ReportingPeers(asyncio.DatagramProtocol):
    """Send reports at the rates of a fleet and count those that come back."""

    def __init__(self, *, fleet: PeerFleet) -> None:
        """Send for all VMs of ``fleet``, from one socket."""
        self.fleet = fleet
        self.rng = random.Random(1)
        self.transport: asyncio.DatagramTransport | None = None
        self.received_count = 0
        self.sent_count = 0

    def connection_made(self, transport: Any) -> None:
        """Store the transport that reports are sent through."""
        self.transport = transport

    def datagram_received(self, datagram: bytes, address: Any) -> None:
        """Count a report of the VM."""
        self.received_count += 1

    async def run(self, address: tuple[str, int]) -> None:
        """Send reports to ``address`` until cancelled."""
        peers = self.fleet.zone_peers
        per_turn = (
            (
                len(peers) / zone_report_interval_s(len(peers)),
                self._zone_report,
            ),
            (_HEARTBEATS_PER_S, self._heartbeat),
            (_ZONE_LOADS_PER_S, self._relayed_report),
        )
        due = [0.0 for _ in per_turn]
        loop = asyncio.get_running_loop()
        before_s = loop.time()
        while True:
            await asyncio.sleep(_TURN_S)
            moment_s = loop.time()
            for position, (rate, build) in enumerate(per_turn):
                due[position] += rate * (moment_s - before_s)
                while due[position] >= 1:
                    due[position] -= 1
                    self.sent_count += 1
                    self.transport.sendto(
                        peer_state_to_bytes(build(), 0), address
                    )
            before_s = moment_s

    def _zone_report(self) -> PeerState:
        return PeerState(
            name=self.rng.choice(self.fleet.zone_peers),
            zone=self.fleet.zone,
            occupancy=self._occupancies(_ENGINES_IN_USE),
            work_totals=self._work(),
        )

    def _heartbeat(self) -> PeerState:
        name = self.rng.choice(self.fleet.remote_peers)
        return PeerState(
            name=name,
            zone=name.rpartition('/')[0],
            occupancy={},
            work_totals=WorkTotals(),
        )

    def _relayed_report(self) -> PeerState:
        count = len(self.fleet.engine_ids)
        return PeerState(
            name=self.fleet.zone_peers[0],
            zone=self.fleet.zone,
            occupancy=self._occupancies(_ENGINES_IN_USE),
            work_totals=self._work(),
            zones={
                zone: ZoneLoad(
                    occupancy=self._occupancies(count),
                    work_totals=self._work(),
                )
                for zone in self.fleet.other_zones
            },
        )

    def _occupancies(self, count: int) -> dict[str, Occupancy]:
        return {
            name: Occupancy(
                attempts=1,
                uncached_tokens=self.rng.randrange(_TOKENS),
                kv_tokens=self.rng.randrange(_TOKENS, 2 * _TOKENS),
            )
            for name in self.rng.sample(self.fleet.engine_ids, count)
        }

    def _work(self) -> WorkTotals:
        return WorkTotals(
            short_prompt_work=self.rng.randrange(_MAX_WORK_TOKENS),
            long_prompt_work=self.rng.randrange(_MAX_WORK_TOKENS),
        )


def name_zone_peers(zone: str, own_names: Sequence[str], count: int) -> list:
    """Return names of VMs that rank after ``own_names`` as store readers.

    The first ones rank before them as aggregators.
    """
    names: list[str] = []
    number = 0
    while len(names) < count:
        name = f'{zone}/{number}'
        number += 1
        if _ranks_first('store-readers', name, own_names):
            continue
        if len(names) >= _AGGREGATORS or _ranks_first(
            'speakers', name, own_names
        ):
            names.append(name)
    return names


def _ranks_first(key: str, name: str, others: Sequence[str]) -> bool:
    # A reader must rank before all peers, an aggregator before all others.
    order = rank_by_rendezvous_hash(key, [name, *others])
    if key == 'store-readers':
        return order.index(name) < len(others)
    return order[0] == name
