"""Check which completions of a lost engine go on within the retry budget."""

import asyncio
import contextlib
import time

import attrs
import logbook
import orjson
import pytest

from arbutusbay.http import new_client_session
from arbutusbay.policy import EngineState, Job
from arbutusbay.router._dispatcher import Dispatcher, JobContext
from arbutusbay.router._generation_run import GenerationRun
from arbutusbay.router._metrics import RouterMetrics
from arbutusbay.router._run_progress import CompletionRequest
from arbutusbay.router._settings import RouterSettings
from arbutusbay.router._shared_state import RouterState
from arbutusbay.settings import NodeSettings
from arbutusbay.state import Pool, Urgency
from emulator.raw_response import Ending, end_transport
from tests.raw_servers import read_request_body

_POOL = 'language'
_LOST = 'engine-0'
_OTHER = 'engine-1'
_SLOTS = 64
_PIECES = 4
_PIECES_BEFORE_LOSS = 2
_UNDERWAY_S = 0.5
_LIMIT_S = 20.0
_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
_BEGUN = 26
_WAITING = 4


def build_line(attempt: str, kind: str, **fields) -> bytes:
    """Return one line of an engine's stream as a chunk."""
    line = orjson.dumps({'attempt': attempt, 'type': kind, **fields})
    return b'%x\r\n%b\n\r\n' % (len(line) + 1, line)


@attrs.define(kw_only=True)
class ScriptedEngine:
    """Answer completions up to a number of pieces, until it is lost.

    Completions whose prompt begins with ``waiting`` get the start of their
    response and no piece.
    """

    pieces: int = _PIECES
    waiting_pieces: int = _PIECES
    url: str = ''
    listener: asyncio.Server | None = None
    writers: list[asyncio.StreamWriter] = attrs.field(factory=list)

    async def open(self) -> None:
        """Listen on a free port."""
        self.listener = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        host, port = self.listener.sockets[0].getsockname()
        self.url = f'http://{host}:{port}'

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one completion, and leave it open if it has no end."""
        with contextlib.suppress(asyncio.IncompleteReadError):
            asked = orjson.loads(await read_request_body(reader))
            self.writers.append(writer)
            writer.write(_HEAD + self._lines(asked))

    def end(self) -> None:
        """End as a process does that is killed."""
        self.listener.close()
        for writer in self.writers:
            end_transport(writer.transport, Ending.RESET)

    def _lines(self, asked: dict) -> bytes:
        attempt = asked['attempt']
        is_waiting = asked['prompt'].startswith('waiting')
        end = self.waiting_pieces if is_waiting else self.pieces
        lines = [
            build_line(attempt, 'start', cached_tokens=0, prompt_tokens=10)
        ]
        lines += [
            build_line(attempt, 'piece', index=index, text=f'w{index} ')
            for index in range(asked['resume_from'], end)
        ]
        if end == _PIECES:
            lines.append(
                build_line(attempt, 'end', pieces=end, finish_reason='stop')
            )
        return b''.join(lines)


@pytest.fixture
async def engines():
    """Yield the engine that will be lost, and one that finishes."""
    lost = ScriptedEngine(pieces=_PIECES_BEFORE_LOSS, waiting_pieces=0)
    other = ScriptedEngine()
    await lost.open()
    await other.open()
    yield lost, other
    other.end()


def build_state(lost: ScriptedEngine, other: ScriptedEngine) -> RouterState:
    """Return a router that has not yet heard of the other engine."""
    node = NodeSettings(id='vm-1', host='127.0.0.1', zone='zone-a')
    state = RouterState(settings=RouterSettings(node=node))
    for name, engine in ((_LOST, lost), (_OTHER, other)):
        state.engines[name] = EngineState(
            name=name,
            url=engine.url,
            zone='zone-a',
            pool=_POOL,
            slots=_SLOTS,
            weights_version='v1',
            ready=name == _LOST,
        )
    return state


def build_run(state, dispatcher, session, name: str) -> GenerationRun:
    """Return the run of an idempotent completion."""
    moment_s = time.monotonic()
    job = Job(
        id=name,
        team='t',
        route='m',
        pool=_POOL,
        urgency=Urgency.NORMAL,
        hashes=(),
        block_tokens=16,
        prompt_tokens=10,
        max_tokens=_PIECES,
        arrived_s=moment_s,
        deadline_s=moment_s + _LIMIT_S,
    )
    request = CompletionRequest(
        job=job,
        prompt=name,
        pool=Pool(model='m', weights_version='v1'),
        idempotent=True,
        context=JobContext(depths={}, affinity_key='key'),
    )
    return GenerationRun(
        shared_state=state,
        dispatcher=dispatcher,
        metrics=RouterMetrics(),
        session=session,
        request=request,
    )


async def finish(run: GenerationRun):
    """Return the last event of a run."""
    last = None
    async for event in run.relay():
        last = event
    return last


async def lose_engine(lost, state, names: list[str]):
    """Run completions at an engine that is lost; return the last events."""
    dispatcher = Dispatcher(shared_state=state)
    async with (
        new_client_session(reuse_connections=False) as session,
        asyncio.timeout(_LIMIT_S),
    ):
        tasks = [
            asyncio.create_task(
                finish(build_run(state, dispatcher, session, name))
            )
            for name in names
        ]
        await asyncio.sleep(_UNDERWAY_S)
        state.engines[_OTHER].ready = True
        lost.end()
        return await asyncio.gather(*tasks)


# Guards against a completion without a piece that is answered 'outcome unknown'
# when its engine is lost, as completions that go on without a token of the
# retry budget had used it up.
async def test_completions_that_go_on_leave_the_budget_to_those_that_wait(
    engines,
):
    lost, other = engines
    names = [f'begun {number}' for number in range(_BEGUN)]
    names += [f'waiting {number}' for number in range(_WAITING)]
    ends = await lose_engine(lost, build_state(lost, other), names)
    failed = {
        name: end.unwrap_err().kind.value
        for name, end in zip(names, ends, strict=True)
        if end.is_err()
    }
    assert not failed


# Guards against a budget that no longer limits how many completions are sent
# once more of those that need it.
async def test_completions_without_a_piece_are_repeated_within_the_budget(
    engines,
):
    lost, other = engines
    state = build_state(lost, other)
    tokens = int(state.retry_budget.tokens)
    names = [f'waiting {number}' for number in range(2 * tokens)]
    with logbook.TestHandler() as log:
        ends = await lose_engine(lost, state, names)
    assert sum(end.is_ok() for end in ends) == tokens
    reasons = [
        record.kwargs['fields']['reason']
        for record in log.records
        if record.message == 'completion not repeated'
    ]
    assert set(reasons) == {'retry_budget'}
    assert len(reasons) == tokens
