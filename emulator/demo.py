"""Run the example deployments and send them requests.

The last one runs on the stand-in of the users' platform.

The last line printed is one JSON object with the totals.
"""

import asyncio
import random
import statistics
import sys
import time
from pathlib import Path

import aiohttp
import attrs
import orjson

from emulator.cluster import Cluster, ClusterOptions, running_cluster
from emulator.fleet_demo import FleetTotals, fleet_totals

_EXAMPLES = Path(__file__).resolve().parent.parent / 'examples'
_REQUESTS = 100
_CONCURRENCY = 12
_TIMEOUT_S = 60
_SEED = 1
_LEVEL_WORDS = 250
_TEAMS_USED = 4
_DOCUMENTS = 3
_P95 = 95
_MS_PER_S = 1000
_OK_STATUS = 200


@attrs.frozen(kw_only=True)
class Deployment:
    """Name an example, its zones and the model that it serves."""

    example: str
    zones: tuple[str, ...]
    model: str


DEPLOYMENTS = (
    Deployment(
        example='sahel',
        zones=('plateau', 'hann', 'rufisque'),
        model='roll-advisor',
    ),
    Deployment(
        example='correa',
        zones=('mx-norte-a', 'mx-norte-b', 'mx-norte-c'),
        model='belt-finder',
    ),
)


@attrs.define(kw_only=True)
class Totals:
    """Add up what callers saw."""

    complete: int = 0
    refused: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    first_tokens_s: list[float] = attrs.field(factory=list)

    def to_json(self) -> dict[str, float]:
        """Return the totals of the demo."""
        percentiles = statistics.quantiles(self.first_tokens_s, n=100)
        return {
            'requests': self.complete + self.refused,
            'complete': self.complete,
            'refused': self.refused,
            'prefix_hit_rate': round(
                self.cached_tokens / max(1, self.prompt_tokens),
                3,
            ),
            'ttft_p95_ms': round(percentiles[_P95 - 1] * _MS_PER_S, 1),
        }


def main() -> None:
    """Run the demo; the exit code is 0 when every request was answered."""
    totals = Totals()
    for deployment in DEPLOYMENTS:
        _say(f'starting {deployment.example}')
        options = ClusterOptions(
            example=_EXAMPLES / f'{deployment.example}.toml',
            zones=deployment.zones,
        )
        with running_cluster(options) as cluster:
            _say(cluster.run_client('status'))
            asyncio.run(_send_all(cluster, deployment, totals))
        _say(f'stopped {deployment.example}')
    _add_fleet(totals)
    _say(orjson.dumps(totals.to_json()).decode())
    answered = totals.complete + totals.refused
    sys.exit(answered != _REQUESTS * (len(DEPLOYMENTS) + 1))


def _add_fleet(totals: Totals) -> None:
    _say("starting three VMs on the users' platform")
    fleet = asyncio.run(fleet_totals())
    _say(_fleet_line(fleet))
    totals.complete += fleet.complete
    totals.refused += fleet.refused
    totals.first_tokens_s.extend(fleet.first_bytes_s)


def _fleet_line(totals: FleetTotals) -> str:
    return (
        f'complete {totals.complete}, refused {totals.refused}, '
        f'engines on new weights {totals.weights}, '
        f'exit code of the VM shut down {totals.exit_code}'
    )


async def _send_all(
    cluster: Cluster,
    deployment: Deployment,
    totals: Totals,
) -> None:
    rng = random.Random(_SEED)
    limit = asyncio.Semaphore(_CONCURRENCY)
    teams = [
        document.name
        for document in cluster.documents
        if document.kind == 'team'
    ][:_TEAMS_USED]
    async with aiohttp.ClientSession() as session:
        await asyncio.gather(
            *(
                _send(
                    session,
                    limit,
                    cluster.nodes[number % len(cluster.nodes)].router.url,
                    Prompt(
                        team=rng.choice(teams),
                        document=rng.randrange(_DOCUMENTS),
                        question=number,
                        model=deployment.model,
                    ),
                    totals,
                )
                for number in range(_REQUESTS)
            )
        )


@attrs.frozen(kw_only=True)
class Prompt:
    """Describe a prompt of three nested levels."""

    team: str
    document: int
    question: int
    model: str

    def to_json(self) -> dict[str, object]:
        """Return the body of the request."""
        team_level = f'{self.team} guidance. ' * _LEVEL_WORDS
        document_level = f'document {self.document}. ' * _LEVEL_WORDS
        return {
            'model': self.model,
            'stream': True,
            'max_tokens': 16,
            'messages': [
                {'role': 'system', 'content': team_level},
                {'role': 'user', 'content': document_level},
                {'role': 'user', 'content': f'question {self.question}?'},
            ],
        }


async def _send(
    session: aiohttp.ClientSession,
    limit: asyncio.Semaphore,
    url: str,
    prompt: Prompt,
    totals: Totals,
) -> None:
    async with limit:
        sent_s = time.monotonic()
        async with session.post(
            f'{url}/v1/chat/completions',
            json=prompt.to_json(),
            headers={'Authorization': f'Bearer key-{prompt.team}'},
            timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
        ) as response:
            if response.status != _OK_STATUS:
                totals.refused += 1
                return
            await response.content.readline()
            totals.first_tokens_s.append(time.monotonic() - sent_s)
            rest = await response.read()
        _count(rest, totals)


def _count(rest: bytes, totals: Totals) -> None:
    events = [line for line in rest.split(b'\n\n') if line.startswith(b'data')]
    if not events or not events[-1].endswith(b'[DONE]'):
        totals.refused += 1
        return
    totals.complete += 1
    usage = orjson.loads(events[-2].removeprefix(b'data: '))['usage']
    totals.prompt_tokens += usage['prompt_tokens']
    totals.cached_tokens += usage['prompt_tokens_details']['cached_tokens']


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
