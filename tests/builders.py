"""Build the data that tests use."""

from pathlib import Path
from types import MappingProxyType
from typing import Any

from emulator.cluster import ClusterOptions

EXAMPLES = Path(__file__).resolve().parent.parent / 'examples'
TEAM = 'till-rolls'
MODEL = 'roll-advisor'
FAST_DRAIN = MappingProxyType({'notice_ms': 100, 'limit_s': 60})
FAST_LEASE = MappingProxyType(
    {
        'ttl_ms': 900,
        'longest_order_ms': 600,
        'snapshot_s': 3600,
    }
)
SYSTEM_PROMPT = 'You advise shopkeepers on till rolls. ' * 40


def build_options(
    *,
    vms: int = 3,
    example: str = 'sahel',
    **changes: Any,
) -> ClusterOptions:
    """Return options for a cluster of ``vms`` entry VMs."""
    zones = ('plateau', 'hann', 'rufisque')
    fields: dict[str, Any] = {
        'example': EXAMPLES / f'{example}.toml',
        'zones': [zones[number % len(zones)] for number in range(vms)],
        'router': {'drain': FAST_DRAIN},
        'control': {'lease': FAST_LEASE, 'drain': FAST_DRAIN},
    }
    return ClusterOptions(**{**fields, **changes})


def build_chat(
    question: str = 'Which roll fits?',
    *,
    max_tokens: int = 8,
    stream: bool = True,
    model: str = MODEL,
) -> dict[str, Any]:
    """Return the body of a chat completion."""
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
    """Return the prompt text that the router makes of ``build_chat``."""
    return f'<system>\n{SYSTEM_PROMPT}\n<user>\n{question}\n'


def build_headers(team: str = TEAM, key: str = '') -> dict[str, str]:
    """Return a caller's headers, with an idempotency key if given."""
    headers = {'Authorization': f'Bearer key-{team}'}
    if key:
        headers['Idempotency-Key'] = key
    return headers
