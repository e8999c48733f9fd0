"""Model the idempotency ledger of one key for exhaustive checking.

The model folds the log with the product's ``apply_ledger_record``. Attempts
belong to routers that may crash, freeze (modelled by not scheduling them) or
give up. Appends take effect immediately, late or never, and responses may be
lost. An owner may reply from any prefix of the log that contains the
requester's own record. This covers changes of owner, two owners at a time and
readers that lag. A group commit is a sequence of adjacent records.
"""

import enum
import functools
from collections.abc import Callable, Iterator

import attrs
from minicheck import Protocol

from arbutusbay.state import (
    EMPTY_KEY_STATE,
    Abandon,
    Claim,
    KeyState,
    LedgerRecord,
    Outcome,
    apply_ledger_record,
    holds_open_claim,
)
from tests.model.spec import build_protocol

_KEY = 'key'
_MAX_LOG_RECORDS = 6


class Step(enum.StrEnum):
    """List the stages of an attempt."""

    IDLE = 'idle'
    ASKING = 'asking'
    WON = 'won'
    SENT = 'sent'
    ANSWERED = 'answered'
    GIVEN_UP = 'given up'
    FOLLOWED = 'followed'
    CRASHED = 'crashed'


class ReportedOutcome(enum.StrEnum):
    """List the outcomes reported to the client of an attempt."""

    NOTHING = 'nothing'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'
    COMPLETE = 'complete'


class DroppedRule(enum.StrEnum):
    """List the rules of the protocol that the model can drop."""

    NONE = 'none'
    TAKEOVER = 'a claim passes to another attempt after a timeout'
    SEND_AFTER_GIVING_UP = 'an attempt sends after giving up'
    ABANDON_AFTER_SENDING = 'a timeout after sending abandons the claim'
    EARLY_VERDICT = 'an owner replies before the record is in the log'
    NOT_RUN_WHILE_LOG_DOWN = 'an attempt without a verdict reports not run'
    NO_CLAIM_AGE_LIMIT = 'an attempt sends on a claim older than the window'
    FORGET_ABANDONED = 'the fold forgets abandoned nonces'
    OUTCOME_OF_ANYONE = 'the fold accepts an outcome of any attempt'


@attrs.frozen(kw_only=True, cache_hash=True)
class Attempt:
    """Hold one attempt.

    ``in_network`` means that its request was sent but has not arrived.
    """

    step: Step = Step.IDLE
    reported_outcome: ReportedOutcome = ReportedOutcome.NOTHING
    in_network: bool = False
    ran: bool = False


@attrs.frozen(kw_only=True, cache_hash=True)
class SystemState:
    """Hold the log since the last expiry of the key, and all attempts.

    ``late`` holds records that may still be appended. ``runs`` counts the
    executions of the request, ``has_false_report`` means that a client got
    "not run" about a request that ran, and ``expired`` that the retention
    window of the key has passed once.
    """

    log: tuple[LedgerRecord, ...] = ()
    late: frozenset[LedgerRecord] = frozenset()
    attempts: tuple[Attempt, ...] = (Attempt(), Attempt())
    runs: int = 0
    has_false_report: bool = False
    expired: bool = False


Transition = tuple[str, SystemState]


class LedgerSpec:
    """Generate the transitions of the model, without the rule ``mutant``."""

    def __init__(self, *, mutant: DroppedRule = DroppedRule.NONE) -> None:
        """Create the model without the rule that ``mutant`` names."""
        self.mutant = mutant

    def protocol(self) -> Protocol:
        """Return the protocol with its safety properties."""
        return build_protocol(
            f'ledger: {self.mutant.value}',
            SystemState(),
            self.steps,
            {
                'at most once': lambda system_state: system_state.runs <= 1,
                'a request reported as not run never runs': (
                    lambda system_state: not system_state.has_false_report
                ),
                'a request reported as complete ran once': _complete_ran_once,
                'an abandoned claim is not active': self._no_abandoned_claim,
            },
        )

    def steps(self, system_state: SystemState) -> Iterator[Transition]:
        """Yield the label and state of every possible transition."""
        for number, attempt in enumerate(system_state.attempts):
            for label, changed in self._attempt_steps(
                system_state, number, attempt
            ):
                yield f'{label} {number}', changed
        for record in system_state.late:
            if len(system_state.log) < _MAX_LOG_RECORDS:
                yield (
                    f'late {type(record).__name__} {record.nonce}',
                    attrs.evolve(
                        system_state,
                        late=system_state.late - {record},
                        log=(*system_state.log, record),
                    ),
                )
        if not system_state.expired and system_state.log:
            yield (
                'window expires',
                attrs.evolve(system_state, expired=True, log=()),
            )

    def entry(self, log: tuple[LedgerRecord, ...]) -> KeyState:
        """Return the state of the key after all records of ``log``."""
        return _fold_log(self._fold_function(), log)

    def _attempt_steps(
        self,
        system_state: SystemState,
        number: int,
        attempt: Attempt,
    ) -> Iterator[Transition]:
        match attempt.step:
            case Step.IDLE if not system_state.expired:
                yield (
                    'start',
                    _update_attempt(system_state, number, step=Step.ASKING),
                )
            case Step.ASKING:
                yield from self._steps_when_asking(system_state, number)
            case Step.WON:
                yield from self._steps_when_won(system_state, number)
            case Step.SENT:
                yield from self._steps_when_sent(system_state, number)
            case Step.GIVEN_UP:
                if self.mutant is DroppedRule.SEND_AFTER_GIVING_UP:
                    yield 'send', _send(system_state, number)
        if attempt.in_network:
            yield 'arrive', _arrive(system_state, number)
        if attempt.step in {Step.ASKING, Step.WON, Step.SENT}:
            yield (
                'crash',
                _update_attempt(system_state, number, step=Step.CRASHED),
            )

    def _steps_when_asking(
        self, system_state: SystemState, number: int
    ) -> Iterator[Transition]:
        claim = Claim(key=_KEY, nonce=str(number))
        if (
            claim not in system_state.log
            and len(system_state.log) < _MAX_LOG_RECORDS
        ):
            yield (
                'append',
                attrs.evolve(system_state, log=(*system_state.log, claim)),
            )
            yield (
                'append late',
                attrs.evolve(system_state, late=system_state.late | {claim}),
            )
        yield from self._verdict_steps(system_state, number, claim)
        gives_up = ReportedOutcome.UNKNOWN
        if self.mutant is DroppedRule.NOT_RUN_WHILE_LOG_DOWN:
            gives_up = ReportedOutcome.NOT_RUN
        yield 'give up', _give_up(system_state, number, gives_up)

    def _verdict_steps(
        self,
        system_state: SystemState,
        number: int,
        claim: Claim,
    ) -> Iterator[Transition]:
        first = (
            system_state.log.index(claim) + 1
            if claim in system_state.log
            else None
        )
        if self.mutant is DroppedRule.EARLY_VERDICT and first is None:
            early = self.entry((*system_state.log, claim))
            yield (
                'early verdict',
                self._apply_verdict(system_state, number, early),
            )
        if first is None:
            return
        for end in range(first, len(system_state.log) + 1):
            entry = self.entry(system_state.log[:end])
            yield (
                f'verdict at {end}',
                self._apply_verdict(system_state, number, entry),
            )

    def _apply_verdict(
        self, system_state: SystemState, number: int, entry: KeyState
    ) -> SystemState:
        if holds_open_claim(entry, str(number)):
            return _update_attempt(system_state, number, step=Step.WON)
        if entry.outcome is not None:
            return _update_attempt(
                system_state,
                number,
                step=Step.FOLLOWED,
                reported_outcome=ReportedOutcome.COMPLETE,
            )
        return _update_attempt(
            system_state,
            number,
            step=Step.FOLLOWED,
            reported_outcome=ReportedOutcome.UNKNOWN,
        )

    def _steps_when_won(
        self, system_state: SystemState, number: int
    ) -> Iterator[Transition]:
        is_fresh = not system_state.expired
        if is_fresh or self.mutant is DroppedRule.NO_CLAIM_AGE_LIMIT:
            yield 'send', _send(system_state, number)
        if is_fresh:
            yield (
                'cannot connect',
                _give_up(system_state, number, ReportedOutcome.NOT_RUN),
            )
        else:
            yield (
                'too old',
                _give_up(system_state, number, ReportedOutcome.UNKNOWN),
            )

    def _steps_when_sent(
        self, system_state: SystemState, number: int
    ) -> Iterator[Transition]:
        attempt = system_state.attempts[number]
        outcome = Outcome(
            key=_KEY,
            nonce=str(number),
            status=200,
            content_type='',
            body=b'',
        )
        if attempt.ran:
            answered = _update_attempt(
                system_state,
                number,
                step=Step.ANSWERED,
                reported_outcome=ReportedOutcome.COMPLETE,
            )
            yield (
                'answer',
                attrs.evolve(answered, late=answered.late | {outcome}),
            )
        timed_out = _update_attempt(
            system_state,
            number,
            step=Step.GIVEN_UP,
            reported_outcome=ReportedOutcome.UNKNOWN,
        )
        if self.mutant is DroppedRule.ABANDON_AFTER_SENDING:
            timed_out = _abandon(timed_out, number)
        yield 'time out', timed_out
        if self.mutant is DroppedRule.OUTCOME_OF_ANYONE:
            yield (
                'guess an outcome',
                attrs.evolve(system_state, late=system_state.late | {outcome}),
            )

    def _fold_function(self) -> Callable[[KeyState, LedgerRecord], KeyState]:
        match self.mutant:
            case DroppedRule.TAKEOVER:
                return _fold_with_takeover
            case DroppedRule.FORGET_ABANDONED:
                return _fold_without_abandoned
            case DroppedRule.OUTCOME_OF_ANYONE:
                return _fold_any_outcome
            case _:
                return apply_ledger_record

    def _no_abandoned_claim(self, system_state: SystemState) -> bool:
        entry = self.entry(system_state.log)
        abandoned = {
            record.nonce
            for record in system_state.log
            if isinstance(record, Abandon)
        }
        return entry.outcome is not None or entry.claimant not in abandoned


@functools.cache
def _fold_log(
    fold: Callable[[KeyState, LedgerRecord], KeyState],
    log: tuple[LedgerRecord, ...],
) -> KeyState:
    return functools.reduce(fold, log, EMPTY_KEY_STATE)


def _complete_ran_once(system_state: SystemState) -> bool:
    reported_outcome = any(
        attempt.reported_outcome is ReportedOutcome.COMPLETE
        for attempt in system_state.attempts
    )
    return not reported_outcome or system_state.runs == 1


def _update_attempt(
    system_state: SystemState, number: int, **changes: object
) -> SystemState:
    attempts = list(system_state.attempts)
    attempts[number] = attrs.evolve(attempts[number], **changes)
    return attrs.evolve(system_state, attempts=tuple(attempts))


def _send(system_state: SystemState, number: int) -> SystemState:
    return _update_attempt(
        system_state, number, step=Step.SENT, in_network=True
    )


def _arrive(system_state: SystemState, number: int) -> SystemState:
    arrived = _update_attempt(system_state, number, in_network=False, ran=True)
    told_not_run = (
        arrived.attempts[number].reported_outcome is ReportedOutcome.NOT_RUN
    )
    return attrs.evolve(
        arrived,
        runs=system_state.runs + 1,
        has_false_report=system_state.has_false_report or told_not_run,
    )


def _give_up(
    system_state: SystemState, number: int, reported_outcome: ReportedOutcome
) -> SystemState:
    given_up = _update_attempt(
        system_state,
        number,
        step=Step.GIVEN_UP,
        reported_outcome=reported_outcome,
    )
    has_false_report = (
        reported_outcome is ReportedOutcome.NOT_RUN and system_state.runs > 0
    )
    return _abandon(
        attrs.evolve(
            given_up,
            has_false_report=system_state.has_false_report or has_false_report,
        ),
        number,
    )


def _abandon(system_state: SystemState, number: int) -> SystemState:
    record = Abandon(key=_KEY, nonce=str(number))
    return attrs.evolve(system_state, late=system_state.late | {record})


def _fold_with_takeover(entry: KeyState, record: LedgerRecord) -> KeyState:
    if isinstance(record, Claim) and entry.outcome is None:
        return attrs.evolve(entry, claimant=record.nonce)
    return apply_ledger_record(entry, record)


def _fold_without_abandoned(entry: KeyState, record: LedgerRecord) -> KeyState:
    folded = apply_ledger_record(entry, record)
    return attrs.evolve(folded, abandoned=frozenset())


def _fold_any_outcome(entry: KeyState, record: LedgerRecord) -> KeyState:
    if isinstance(record, Outcome):
        return attrs.evolve(entry, outcome=record, claimant=record.nonce)
    return apply_ledger_record(entry, record)
