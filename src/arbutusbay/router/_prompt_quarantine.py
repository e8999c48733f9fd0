"""Keep completions with prompts that crash engines from the engines.

Routers tell the control daemons of all VMs what they see, and hear from that of
their own VM what the others saw.
"""

import asyncio

import aiohttp
from result import Ok

from arbutusbay.clock import now_s
from arbutusbay.controller import Controller
from arbutusbay.errors import Failure
from arbutusbay.hashing import rank_by_rendezvous_hash
from arbutusbay.http import call_peer
from arbutusbay.policy import Job
from arbutusbay.quarantine import (
    QuarantineReport,
    SegmentKey,
    WithheldRequest,
    build_refusal,
    segment_key,
)
from arbutusbay.quarantine_exchange import build_exchange, read_exchange
from arbutusbay.router._shared_state import RouterState
from arbutusbay.verdict_log import log_verdict_change
from arbutusbay.wire import QuarantineExchange

_MAX_PROMPT_BLOCKS = 32
_CHECK_INTERVAL_S = 0.1
_BUSY_EXCHANGE_S = 0.3
_IDLE_EXCHANGE_S = 1.0
_CALL_TIMEOUT_S = 0.5
_SOURCE = 'control'


def segment_keys_of(job: Job) -> tuple[SegmentKey, ...]:
    """Return the prefixes of a prompt that others may share, shortest first.

    The longest one is among them, since the same prompt may come again.
    """
    hashes = (*job.hashes[:_MAX_PROMPT_BLOCKS], *job.hashes[-1:])
    prefixes = dict.fromkeys(hashes)
    return tuple(segment_key(job.pool, f'{prefix:x}') for prefix in prefixes)


class PromptQuarantine(Controller):
    """Refuse completions with quarantined prompts and spread the verdicts."""

    shared_state: RouterState
    session: aiohttp.ClientSession

    async def prepare(self) -> None:
        """Log each verdict that changes."""
        self.shared_state.quarantine.announce = log_verdict_change
        self.next_exchange_s = now_s()

    async def step(self) -> None:
        """Evaluate the evidence, and exchange it with control daemons."""
        await asyncio.sleep(_CHECK_INTERVAL_S)
        moment_s = now_s()
        quarantine = self.shared_state.quarantine
        quarantine.evaluate(moment_s, {})
        if moment_s < self.next_exchange_s:
            return
        is_busy = bool(quarantine.evidence.ends)
        interval_s = _BUSY_EXCHANGE_S if is_busy else _IDLE_EXCHANGE_S
        self.next_exchange_s = moment_s + interval_s
        report = quarantine.report(moment_s)
        await asyncio.gather(
            *(
                self._exchange(url, report)
                for url in self._control_urls(is_busy=is_busy)
            )
        )

    def _control_urls(self, *, is_busy: bool) -> list[str]:
        if is_busy:
            return list(self.shared_state.control_urls().values())
        return [self.shared_state.settings.node.control_url]

    async def _exchange(self, url: str, report: QuarantineReport) -> None:
        reply = await call_peer(
            self.session,
            f'{url}/peer/quarantine',
            build_exchange(self.shared_state.settings.node.id, report, now_s()),
            QuarantineExchange,
            timeout_s=_CALL_TIMEOUT_S,
        )
        if isinstance(reply, Ok):
            moment_s = now_s()
            self.shared_state.quarantine.merge_report(
                f'{_SOURCE}-{reply.ok_value.reporter}',
                read_exchange(reply.ok_value, moment_s),
                moment_s,
            )


def refuse_job(shared_state: RouterState, job: Job) -> Failure | None:
    """Return a failure if a job must not be sent to an engine."""
    withheld = shared_state.quarantine.withhold(
        WithheldRequest(id=job.id, keys=segment_keys_of(job)),
        now_s=now_s(),
        weights_versions={},
        may_probe=lambda key: _is_owner(shared_state, key),
    )
    return None if withheld is None else build_refusal(withheld)


def _is_owner(shared_state: RouterState, key: SegmentKey) -> bool:
    """Return whether this router tries a quarantined prompt for the fleet."""
    ranked = rank_by_rendezvous_hash(
        str(key), sorted(shared_state.active_nodes())
    )
    return ranked[0] == shared_state.settings.node.id
