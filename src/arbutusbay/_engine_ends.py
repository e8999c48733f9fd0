"""Find out whether an engine ended when connections to it broke."""

import asyncio
from collections.abc import Callable

import attrs

from arbutusbay.clock import now_s
from arbutusbay.logs import get_logger
from arbutusbay.quarantine import EngineEnd, SegmentKey, Suspect

_LOG = get_logger('servers')
_COLLECT_S = 0.03
_CONNECT_TIMEOUT_S = 0.15
_REMEMBERED_S = 2.0


@attrs.frozen(kw_only=True)
class EngineProcess:
    """Identify one start of an engine and where it listens.

    ``incarnation`` is the same on all VMs.
    """

    incarnation: str
    host: str
    port: int


@attrs.define(kw_only=True)
class BrokenRequests:
    """Collect the segments of requests whose connections broke together."""

    first_s: float
    suspects: dict[SegmentKey, Suspect] = attrs.field(factory=dict)
    check: asyncio.Task[bool] | None = None

    def add(self, keys: tuple[SegmentKey, ...], *, is_starting: bool) -> None:
        """Add the segments of one request, in the order of its prompt."""
        for depth, key in enumerate(keys):
            known = self.suspects.get(key)
            if known is None or is_starting > known.is_starting:
                self.suspects[key] = Suspect(
                    depth=depth, is_starting=is_starting
                )


class EngineEndDetector:
    """Record the end of an engine as evidence against what it worked on.

    A connection may break for many reasons. An engine has ended if nobody
    listens at its address any more. ``broken`` holds the requests whose
    connections to an incarnation of an engine broke recently, ``looks`` the
    looks under way at those that broke without being evidence.
    """

    def __init__(self, *, record_end: Callable[[str, EngineEnd], None]) -> None:
        """Call ``record_end`` with each incarnation that has ended."""
        self.record_end = record_end
        self.broken: dict[str, BrokenRequests] = {}
        self.looks: dict[str, asyncio.Task[bool]] = {}

    async def has_ended(self, engine: EngineProcess) -> bool:
        """Return whether an engine has ended to which a connection broke.

        Nothing is recorded. Connections that break together share one look.
        """
        incarnation = engine.incarnation
        look = self.looks.get(incarnation)
        if look is None:
            look = asyncio.create_task(_look(engine))
            look.add_done_callback(lambda _: self.looks.pop(incarnation, None))
            self.looks[incarnation] = look
        return await asyncio.shield(look)

    async def record_break(
        self,
        engine: EngineProcess,
        keys: tuple[SegmentKey, ...],
        *,
        is_starting: bool,
    ) -> bool:
        """Record a broken connection; return whether the engine has ended.

        ``keys`` are the segments of the request, in the order of its prompt.
        ``is_starting`` means that its response had just started, otherwise it
        had not.
        """
        incarnation = engine.incarnation
        broken = self.broken.get(incarnation)
        if broken is None:
            broken = BrokenRequests(first_s=now_s())
            self.broken[incarnation] = broken
            broken.check = asyncio.create_task(_check(engine, broken))
            asyncio.get_running_loop().call_later(
                _REMEMBERED_S, self.broken.pop, incarnation, None
            )
        broken.add(keys, is_starting=is_starting)
        has_ended = await asyncio.shield(broken.check)
        if has_ended:
            self.record_end(
                incarnation,
                EngineEnd(
                    ended_s=broken.first_s, suspects=dict(broken.suspects)
                ),
            )
        return has_ended


async def _check(engine: EngineProcess, broken: BrokenRequests) -> bool:
    """Return whether the engine has ended under ``broken``.

    By then, after a pause of the VM, these may be forgotten otherwise.
    """
    has_ended = await _look(engine)
    if has_ended:
        _LOG.info(
            'server ended under requests',
            fields={
                'server': engine.incarnation,
                'starting': _segments(broken, is_starting=True),
                'not_started': _segments(broken, is_starting=False),
            },
        )
    return has_ended


async def _look(engine: EngineProcess) -> bool:
    # Other connections to the engine break at nearly the same time.
    await asyncio.sleep(_COLLECT_S)
    return await _refuses_connections(engine)


async def _refuses_connections(engine: EngineProcess) -> bool:
    """Return whether nobody listens at the address of an engine.

    A host that does not respond may be cut off, and counts as listening.
    """
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(engine.host, engine.port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError) as error:
        _LOG.info(
            'server not reached by a check',
            fields={'server': engine.incarnation, 'error': repr(error)},
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
