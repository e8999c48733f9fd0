"""Run the example deployments under load and print the results.

The last deployment runs on the emulated platform of a fleet. The last line
of output is a JSON object with the totals.
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
from emulator.fleet_demo import FleetTotals, run_fleet_demo

_EXAMPLES = Path(__file__).resolve().parent.parent / 'examples'
_REQUESTS = 100
_CONCURRENCY = 12
_TIMEOUT_S = 60
_SEED = 1
_REPEATS_PER_LEVEL = 250
_TEAM_COUNT = 4
_DOCUMENT_COUNT = 3
_P95_PERCENT = 95
_MS_PER_S = 1000
_OK_STATUS = 200


@attrs.frozen(kw_only=True)
class Deployment:
    """Describe an example deployment to run."""

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
    """Count the results that clients saw."""

    complete: int = 0
    refused: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    first_token_times_s: list[float] = attrs.field(factory=list)

    def to_json(self) -> dict[str, float]:
        """Return the fields of the JSON object that the demo prints."""
        percentiles = statistics.quantiles(self.first_token_times_s, n=100)
        return {
            'requests': self.complete + self.refused,
            'complete': self.complete,
            'refused': self.refused,
            'prefix_hit_rate': round(
                self.cached_tokens / max(1, self.prompt_tokens),
                3,
            ),
            'ttft_p95_ms': round(percentiles[_P95_PERCENT - 1] * _MS_PER_S, 1),
        }


def main() -> None:
    """Run the demo; exit with 0 if every request got a response, else 1."""
    totals = Totals()
    for deployment in DEPLOYMENTS:
        _print_line(f'starting {deployment.example}')
        options = ClusterOptions(
            example=_EXAMPLES / f'{deployment.example}.toml',
            zones=deployment.zones,
        )
        with running_cluster(options) as cluster:
            _print_line(cluster.run_client('status'))
            asyncio.run(_send_requests(cluster, deployment, totals))
        _print_line(f'stopped {deployment.example}')
    _run_fleet(totals)
    _print_line(orjson.dumps(totals.to_json()).decode())
    answered = totals.complete + totals.refused
    sys.exit(answered != _REQUESTS * (len(DEPLOYMENTS) + 1))


def _run_fleet(totals: Totals) -> None:
    _print_line('starting three VMs on the emulated platform')
    fleet = asyncio.run(run_fleet_demo())
    _print_line(_format_fleet_totals(fleet))
    totals.complete += fleet.complete
    totals.refused += fleet.refused
    totals.first_token_times_s.extend(fleet.first_byte_times_s)


def _format_fleet_totals(totals: FleetTotals) -> str:
    return (
        f'complete {totals.complete}, refused {totals.refused}, '
        f'engines on new weights {totals.weights}, '
        f'exit code of the VM shut down {totals.exit_code}'
    )


async def _send_requests(
    cluster: Cluster,
    deployment: Deployment,
    totals: Totals,
) -> None:
    rng = random.Random(_SEED)
    semaphore = asyncio.Semaphore(_CONCURRENCY)
    teams = [
        resource.name
        for resource in cluster.resources
        if resource.kind == 'team'
    ][:_TEAM_COUNT]
    async with aiohttp.ClientSession() as session:
        await asyncio.gather(
            *(
                _send_request(
                    session,
                    semaphore,
                    cluster.nodes[number % len(cluster.nodes)].router.url,
                    Prompt(
                        team=rng.choice(teams),
                        document=rng.randrange(_DOCUMENT_COUNT),
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
    """Describe a prompt that shares its prefix at two levels.

    Prompts of one team share the first message, prompts on one document the
    second message too.
    """

    team: str
    document: int
    question: int
    model: str

    def to_json(self) -> dict[str, object]:
        """Return the body of the chat completion request."""
        team_context = f'{self.team} guidance. ' * _REPEATS_PER_LEVEL
        document_context = f'document {self.document}. ' * _REPEATS_PER_LEVEL
        return {
            'model': self.model,
            'stream': True,
            'max_tokens': 16,
            'messages': [
                {'role': 'system', 'content': team_context},
                {'role': 'user', 'content': document_context},
                {'role': 'user', 'content': f'question {self.question}?'},
            ],
        }


async def _send_request(
    session: aiohttp.ClientSession,
    semaphore: asyncio.Semaphore,
    url: str,
    prompt: Prompt,
    totals: Totals,
) -> None:
    async with semaphore:
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
            totals.first_token_times_s.append(time.monotonic() - sent_s)
            body = await response.read()
        _count_result(body, totals)


def _count_result(body: bytes, totals: Totals) -> None:
    events = [
        event for event in body.split(b'\n\n') if event.startswith(b'data')
    ]
    if not events or not events[-1].endswith(b'[DONE]'):
        totals.refused += 1
        return
    totals.complete += 1
    usage = orjson.loads(events[-2].removeprefix(b'data: '))['usage']
    totals.prompt_tokens += usage['prompt_tokens']
    totals.cached_tokens += usage['prompt_tokens_details']['cached_tokens']


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
