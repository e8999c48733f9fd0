"""Connect the limits of control daemons without a network."""

from types import MappingProxyType
from urllib.parse import urlsplit

import attrs
from result import Err

from arbutusbay.control import (
    ControlSettings,
    ControlState,
    _quota_renewals,
    _quota_service,
    _quota_view,
    _shared_state,
)
from arbutusbay.control._metrics import ControlMetrics
from arbutusbay.control._quota_service import QuotaService
from arbutusbay.control._shared_state import TrackedMember
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.settings import NodeSettings, PlatformSettings
from arbutusbay.state import (
    ConfigState,
    Quota,
    Resource,
    ResourceId,
    Team,
)
from arbutusbay.wire import QuotaLoan, decode_message, encode_message

TEAM = 't'
_CLOCK_MODULES = (
    _quota_renewals,
    _quota_service,
    _quota_view,
    _shared_state,
)


@attrs.define(kw_only=True)
class QuotaWorld:
    """Hold the services of some VMs; ``lost`` ones do not answer."""

    services: dict[str, QuotaService] = attrs.field(factory=dict)
    lost: set[str] = attrs.field(factory=set)
    moment_s: float = 1000.0

    def now_s(self) -> float:
        """Return the time of this world."""
        return self.moment_s

    def add(self, node: str, count: int, quota: Quota | None) -> None:
        """Add one of ``count`` VMs, which know each other."""
        state = ControlState(
            settings=ControlSettings(
                node=_node_settings(node),
                platform=PlatformSettings(
                    log_url='http://l', vms_url='http://v'
                ),
            ),
            incarnation=1,
            config=_configure(quota),
            config_known=True,
        )
        state.live_hosts_by_vm = {
            name: _host(name) for name in map(_name, range(count))
        }
        self.services[node] = QuotaService(
            shared_state=state, session=None, metrics=ControlMetrics()
        )

    def connect(self) -> None:
        """Let all live VMs have heard of each other just now."""
        for service in self.services.values():
            state = service.shared_state
            for node, other in self.services.items():
                if node != state.node_id and node not in self.lost:
                    state.members[node] = TrackedMember(
                        member=other.shared_state.own_member(),
                        updated_at_s=self.moment_s,
                    )

    async def call_peer(self, session, url, message, reply_type, *, timeout_s):
        """Deliver a message as bytes, or fail as a lost VM does."""
        node = f'vm-{urlsplit(url).hostname.rpartition(".")[-1]}'
        if node in self.lost:
            return Err(Failure(kind=ErrorKind.PEER_UNREACHABLE, detail=node))
        received = decode_message(type(message), encode_message(message))
        service = self.services[node]
        match received.unwrap():
            case QuotaLoan() as loan:
                return service.receive(loan)
            case returned:
                await service.give_back(returned)
                return Err(Failure(kind=ErrorKind.BAD_MESSAGE, detail=''))

    async def renew(self) -> None:
        """Let each live VM lend its share anew."""
        self.connect()
        for node, service in self.services.items():
            service.view.refresh()
            if node in self.lost:
                continue
            for partition in service.shares.used:
                loan = QuotaLoan(node=node, partition=partition.number)
                await service.ask_owner(partition, loan)


def build_world(monkeypatch, *, count: int, quota: Quota | None) -> QuotaWorld:
    """Return ``count`` VMs with the limit of one team."""
    world = QuotaWorld()
    for module in _CLOCK_MODULES:
        monkeypatch.setattr(module, 'now_s', world.now_s)
    monkeypatch.setattr(_quota_service, 'call_peer', world.call_peer)
    for number in range(count):
        world.add(_name(number), count, quota)
    world.connect()
    return world


def _name(number: int) -> str:
    return f'vm-{number + 1}'


def _host(node: str) -> str:
    return f'127.0.0.{node.removeprefix("vm-")}'


def _node_settings(node: str) -> NodeSettings:
    return NodeSettings(id=node, host=_host(node), zone='hann')


def _configure(quota: Quota | None) -> ConfigState:
    team_id = ResourceId(kind='team', name=TEAM)
    team = Resource(
        id=team_id, spec=Team(api_key_digests=[], quota=quota), version=1
    )
    return ConfigState(offset=1, resources=MappingProxyType({team_id: team}))
