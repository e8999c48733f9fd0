"""Find out whether an engine ended when connections to it broke."""

import asyncio

import attrs

from arbutusbay.clock import now_s
from arbutusbay.logs import get_logger
from arbutusbay.node._node_state import NodeState
from arbutusbay.platform import parse_endpoint
from arbutusbay.quarantine import EngineEnd, SegmentKey, Suspect
from arbutusbay.scheduling import EngineView, ResponseProgress

_LOG = get_logger('servers')
_COLLECT_S = 0.03
_CONNECT_TIMEOUT_S = 0.4
_REMEMBERED_S = 2.0


@attrs.define(kw_only=True)
class BrokenRequests:
    """Collect the segments of requests whose connections broke together."""

    first_s: float
    suspects: dict[SegmentKey, Suspect] = attrs.field(factory=dict)
    check: asyncio.Task[bool] | None = None

    def add(
        self, keys: tuple[SegmentKey, ...], progress: ResponseProgress
    ) -> None:
        """Add the segments of one request, in the order of its prompt."""
        is_starting = progress is ResponseProgress.STARTING
        for depth, key in enumerate(keys):
            known = self.suspects.get(key)
            if known is None or is_starting > known.is_starting:
                self.suspects[key] = Suspect(
                    depth=depth, is_starting=is_starting
                )


def incarnation_of(view: EngineView) -> str:
    """Return a name for this start of an engine, the same on all VMs."""
    return f'{view.id}@{view.incarnation}'


class EngineEndDetector:
    """Record the end of an engine as evidence against what it worked on.

    A connection may break for many reasons. An engine has ended if nobody
    listens at its address any more. ``broken`` holds the requests whose
    connections to an incarnation of an engine broke recently.
    """

    def __init__(self, *, node_state: NodeState) -> None:
        """Record ends in the quarantine of ``node_state``."""
        self.node_state = node_state
        self.broken: dict[str, BrokenRequests] = {}

    async def record_break(
        self,
        view: EngineView,
        keys: tuple[SegmentKey, ...],
        progress: ResponseProgress,
    ) -> bool:
        """Record a broken connection; return whether the engine has ended.

        ``keys`` are the segments of the request, in the order of its prompt.
        An engine that leaves as planned, or broke off a response that was
        under way, says nothing about them.
        """
        if view.is_departing or progress is ResponseProgress.UNDERWAY:
            return False
        incarnation = incarnation_of(view)
        broken = self.broken.get(incarnation)
        if broken is None:
            broken = BrokenRequests(first_s=now_s())
            self.broken[incarnation] = broken
            broken.check = asyncio.create_task(self._check(view, incarnation))
            asyncio.get_running_loop().call_later(
                _REMEMBERED_S, self.broken.pop, incarnation, None
            )
        broken.add(keys, progress)
        has_ended = await asyncio.shield(broken.check)
        if has_ended:
            self._record_end(incarnation, broken)
        return has_ended

    async def _check(self, view: EngineView, incarnation: str) -> bool:
        # Other connections to the engine break at nearly the same time.
        await asyncio.sleep(_COLLECT_S)
        has_ended = await _refuses_connections(view.address)
        if has_ended:
            broken = self.broken[incarnation]
            _LOG.info(
                'server ended under requests',
                fields={
                    'server': view.id,
                    'incarnation': incarnation,
                    'starting': _segments(broken, is_starting=True),
                    'not_started': _segments(broken, is_starting=False),
                },
            )
        return has_ended

    def _record_end(self, incarnation: str, broken: BrokenRequests) -> None:
        self.node_state.quarantine.record_end(
            incarnation,
            EngineEnd(ended_s=broken.first_s, suspects=dict(broken.suspects)),
        )
        self.node_state.notify_report_changed()


async def _refuses_connections(address: str) -> bool:
    """Return whether nobody listens at ``address``.

    A host that does not respond may be cut off, and counts as listening.
    """
    endpoint = parse_endpoint(address)
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(
                endpoint.host, endpoint.port
            )
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError) as error:
        _LOG.info(
            'server not reached by a check',
            fields={'address': address, 'error': repr(error)},
        )
        return False
    writer.close()
    return False


def _segments(broken: BrokenRequests, *, is_starting: bool) -> list[str]:
    return sorted(
        key.segment
        for key, suspect in broken.suspects.items()
        if suspect.is_starting == is_starting
    )
