"""Build cluster options, chat requests and headers for tests."""

from pathlib import Path
from types import MappingProxyType
from typing import Any

from arbutusbay.backend import GenerationRequest, Priority
from emulator.cluster import ClusterOptions

EXAMPLES = Path(__file__).resolve().parent.parent / 'examples'
TEAM = 'till-rolls'
MODEL = 'roll-advisor'
SHORT_DRAIN = MappingProxyType({'notice_ms': 100, 'limit_s': 60})
SHORT_LEASE = MappingProxyType(
    {
        'ttl_ms': 900,
        'longest_order_ms': 600,
        'snapshot_s': 3600,
    }
)
SYSTEM_PROMPT = 'You advise shopkeepers on till rolls. ' * 40


def build_cluster_options(
    *,
    vms: int = 3,
    example: str = 'sahel',
    **changes: Any,
) -> ClusterOptions:
    """Return options for a cluster of ``vms`` VMs in up to three zones.

    Drain notices and the lease TTL are shorter than their defaults, so that
    tests do not have to wait for them.
    """
    zones = ('plateau', 'hann', 'rufisque')
    fields: dict[str, Any] = {
        'example': EXAMPLES / f'{example}.toml',
        'zones': [zones[number % len(zones)] for number in range(vms)],
        'router_settings': {'drain': SHORT_DRAIN},
        'control_settings': {'lease': SHORT_LEASE, 'drain': SHORT_DRAIN},
    }
    return ClusterOptions(**{**fields, **changes})


def build_chat_body(
    question: str = 'Which roll fits?',
    *,
    max_tokens: int = 8,
    stream: bool = True,
    model: str = MODEL,
) -> dict[str, Any]:
    """Return the body of a chat completion request."""
    return {
        'model': model,
        'stream': stream,
        'max_tokens': max_tokens,
        'messages': [
            {'role': 'system', 'content': SYSTEM_PROMPT},
            {'role': 'user', 'content': question},
        ],
    }


def build_prompt(question: str) -> str:
    """Return the prompt that the router builds from ``build_chat_body``."""
    return f'<system>\n{SYSTEM_PROMPT}\n<user>\n{question}\n'


def build_headers(team: str = TEAM, key: str = '') -> dict[str, str]:
    """Return request headers, with an idempotency key if ``key`` is set."""
    headers = {'Authorization': f'Bearer key-{team}'}
    if key:
        headers['Idempotency-Key'] = key
    return headers


def build_generation() -> GenerationRequest:
    """Return a request to an engine for one piece of output."""
    return GenerationRequest(
        attempt='a',
        team='t',
        model='m',
        adapter='',
        weights_version='v1',
        incarnation='',
        prompt='p',
        max_tokens=1,
        priority=Priority.NORMAL,
        resume_from=0,
    )
