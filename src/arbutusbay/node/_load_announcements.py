"""Announce weights loads directly to each VM, and apply such announcements.

In a fleet of two tiers load reports reach most VMs through others, later than
a load begins. A VM that doesn't know of it sends requests there, which are
rejected.
"""

from collections.abc import Mapping

import attrs
from result import Err, Ok

from arbutusbay.clock import now_s
from arbutusbay.logs import get_logger
from arbutusbay.node._load_messages import (
    LoadAnnouncement,
    announcement_from_bytes,
    announcement_to_bytes,
)
from arbutusbay.node._peer_messages import PeerState
from arbutusbay.node._peer_state_receiver import PeerStateReceiver
from arbutusbay.scheduling import PlannedWeightsLoad

_LOG = get_logger('peers')
_MIN_INTERVAL_S = 0.1
_REPEAT_INTERVAL_S = 0.25
# For how long a datagram may wait for the link and be on its way.
_DELIVERY_MARGIN_S = 0.1


@attrs.define(kw_only=True, eq=False)
class AnnouncementSchedule:
    """Decide when announcements are sent: after changes, and again.

    Each is sent again while a load is planned, runs or has just ended, as a
    datagram may be lost.
    """

    last_sent: LoadAnnouncement | None = None
    last_sent_s: float = float('-inf')

    def next_datagram(self, own: PeerState, moment_s: float) -> bytes | None:
        """Return the announcement due at ``moment_s``, None if none is."""
        elapsed_s = moment_s - self.last_sent_s
        if not own.loads or elapsed_s < _MIN_INTERVAL_S:
            return None
        announcement = LoadAnnouncement(
            zone=own.zone,
            loads={
                server: _with_margin(load) for server, load in own.loads.items()
            },
            weights={
                server: loaded
                for server, loaded in own.weights.items()
                if _has_loaded(own.loads.get(server), loaded.versions)
            },
        )
        is_known = announcement == self.last_sent
        if is_known and elapsed_s < _REPEAT_INTERVAL_S:
            return None
        self.last_sent = announcement
        self.last_sent_s = moment_s
        return announcement_to_bytes(announcement, moment_s)


@attrs.define(kw_only=True, eq=False)
class AnnouncementReceiver:
    """Apply the announcements of other VMs."""

    state_receiver: PeerStateReceiver

    def receive(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Decode and apply a datagram; log and drop a malformed one."""
        moment_s = now_s()
        match announcement_from_bytes(datagram, moment_s):
            case Err(failure):
                _LOG.warning(
                    'malformed datagram dropped: {}',
                    failure.detail,
                    fields={'sender': str(address)},
                )
            case Ok(announcement):
                self.state_receiver.apply_announcement(announcement, moment_s)


def _with_margin(load: PlannedWeightsLoad) -> PlannedWeightsLoad:
    """Return ``load`` as it is told, so that no VM expects it too late."""
    if load.start_s >= load.finish_s:
        return load
    return attrs.evolve(load, start_s=load.start_s - _DELIVERY_MARGIN_S)


def _has_loaded(
    load: PlannedWeightsLoad | None, versions: Mapping[str, int]
) -> bool:
    return load is not None and versions.get(load.model, -1) >= load.version
