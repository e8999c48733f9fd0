"""Simulate calls to plain servers that wait at a VM, on a fake clock."""

import asyncio
from types import SimpleNamespace

import attrs
from result import Ok

from arbutusbay.errors import Failure
from arbutusbay.node._dispatcher import Dispatcher
from tests.fleet_fakes import FakeClock
from tests.unit.test_admission_review import FewPlacer
from tests.unit.test_dispatcher import (
    build_node_state,
    build_request,
    pass_time,
)

TURN_S = 0.02


@attrs.define(kw_only=True, eq=False)
class QueuedCall:
    """Hold a call, when it came, and when it was sent or refused."""

    task: asyncio.Task
    arrived_s: float
    settled_s: float = float('inf')
    is_answered: bool = False

    @property
    def is_sent(self) -> bool:
        """Return whether it was sent to a server."""
        return self.task.done() and isinstance(self.task.result(), Ok)

    @property
    def refusal(self) -> Failure | None:
        """Return why it was refused, None if it was not."""
        if not self.task.done() or self.is_sent:
            return None
        return self.task.result().err_value

    @property
    def waited_s(self) -> float:
        """Return for how long it waited at the VM."""
        return self.settled_s - self.arrived_s


@attrs.define(kw_only=True, eq=False)
class CallDesk:
    """Send calls to servers that take ``service_s`` for each."""

    dispatcher: Dispatcher
    clock: FakeClock
    service_s: float
    calls: list[QueuedCall] = attrs.field(factory=list)

    async def call(self, *, time_s: float, priority: int = 1) -> QueuedCall:
        """Begin and return a call with ``time_s`` until its deadline."""
        moment_s = self.clock.moment_s
        request = build_request(
            f'call{len(self.calls)}', received_s=moment_s, priority=priority
        )
        incoming = request.incoming
        incoming.is_model_request = False
        incoming.route.name = 'order'
        incoming.deadline_s = moment_s + time_s
        incoming.client_leaves_s = incoming.deadline_s
        task = asyncio.create_task(self.dispatcher.place(request))
        self.calls.append(QueuedCall(task=task, arrived_s=moment_s))
        await self._settle()
        return self.calls[-1]

    async def run(self, seconds: float, *, is_silent: bool = False) -> None:
        """Let time pass, in which servers answer unless they are silent."""
        for _ in range(round(seconds / TURN_S)):
            await pass_time(self.dispatcher, self.clock, seconds=TURN_S)
            await self._settle()
            if not is_silent:
                await self._answer()

    async def _answer(self) -> None:
        begun_by_s = self.clock.moment_s - self.service_s
        for call in self.calls:
            is_due = call.is_sent and call.settled_s <= begun_by_s
            if is_due and not call.is_answered:
                call.is_answered = True
                self.dispatcher.release(call.task.result().ok_value)
        await self._settle()

    async def _settle(self) -> None:
        await asyncio.sleep(0)
        for call in self.calls:
            if call.task.done():
                call.settled_s = min(call.settled_s, self.clock.moment_s)


def build_desk(clock: FakeClock, service_s: float) -> CallDesk:
    """Return a VM in front of two slots, which knows ``service_s``."""
    node_state = build_node_state()
    node_state.speeds = SimpleNamespace(
        book=SimpleNamespace(expected_s=lambda *_: service_s)
    )
    placer = FewPlacer()
    placer.holding_s = service_s
    return CallDesk(
        dispatcher=Dispatcher(node_state=node_state, placer=placer),
        clock=clock,
        service_s=service_s,
    )
