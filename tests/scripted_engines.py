"""Run completions at scripted engines of our own interface."""

import asyncio
import contextlib
import time

import attrs
import orjson

from arbutusbay.policy import EngineState, Job
from arbutusbay.router._dispatcher import JobContext
from arbutusbay.router._generation_run import GenerationRun
from arbutusbay.router._metrics import RouterMetrics
from arbutusbay.router._run_progress import CompletionRequest
from arbutusbay.router._settings import RouterSettings
from arbutusbay.router._shared_state import RouterState
from arbutusbay.settings import NodeSettings
from arbutusbay.state import Pool, Urgency
from emulator.raw_response import Ending, end_transport
from tests.raw_servers import read_request_body

POOL = 'language'
PIECES = 4
LIMIT_S = 20.0
_SLOTS = 64
_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


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

    pieces: int = PIECES
    waiting_pieces: int = PIECES
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
        if end == PIECES:
            lines.append(
                build_line(attempt, 'end', pieces=end, finish_reason='stop')
            )
        return b''.join(lines)


def build_router_state(urls: dict[str, str]) -> RouterState:
    """Return a router with a ready engine at each of ``urls``, by name."""
    node = NodeSettings(id='vm-1', host='127.0.0.1', zone='zone-a')
    state = RouterState(settings=RouterSettings(node=node))
    for name, url in urls.items():
        state.engines[name] = EngineState(
            name=name,
            url=url,
            zone='zone-a',
            pool=POOL,
            slots=_SLOTS,
            weights_version='v1',
            ready=True,
        )
    return state


def build_run(state, dispatcher, session, name: str) -> GenerationRun:
    """Return the run of an idempotent completion."""
    moment_s = time.monotonic()
    job = Job(
        id=name,
        team='t',
        route='m',
        pool=POOL,
        urgency=Urgency.NORMAL,
        hashes=(),
        block_tokens=16,
        prompt_tokens=10,
        max_tokens=PIECES,
        arrived_s=moment_s,
        deadline_s=moment_s + LIMIT_S,
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
