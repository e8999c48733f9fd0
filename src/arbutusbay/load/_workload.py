"""Read workload files: what is asked, how often, in which swings."""

from pathlib import Path

import attrs
from attrs import validators
from result import Result

from arbutusbay.errors import Failure
from arbutusbay.settings import between, is_not_empty, load_settings


@attrs.frozen(kw_only=True)
class Swing:
    """Describe demand over time.

    The rate is ``rate_per_s``, and ``crest_factor`` times that for the last
    ``crest_s`` of every ``period_s``.
    """

    rate_per_s: float = attrs.field(validator=between(0.1, 10_000))
    crest_factor: float = attrs.field(default=1.0, validator=between(1, 100))
    period_s: float = attrs.field(default=10.0, validator=between(0.1, 3600))
    crest_s: float = attrs.field(default=0.0, validator=between(0, 3600))


@attrs.frozen(kw_only=True)
class Level:
    """Describe one level of nested prefixes.

    Each prompt takes one of ``variants`` texts of ``tokens`` tokens; low
    ranks are much more frequent (exponent ``skew``).
    """

    tokens: int = attrs.field(validator=between(1, 100_000))
    variants: int = attrs.field(validator=between(1, 1_000_000))
    skew: float = attrs.field(default=1.0, validator=between(0, 5))


@attrs.frozen(kw_only=True)
class CompletionKind:
    """Describe one kind of completion.

    ``weight`` is its share of all requests.
    """

    name: str = attrs.field(validator=is_not_empty())
    model: str = attrs.field(validator=is_not_empty())
    weight: float = attrs.field(validator=between(0, 1000))
    max_tokens: int = attrs.field(validator=between(1, 32_768))
    question_tokens: int = attrs.field(validator=between(1, 100_000))
    urgent: bool = False
    levels: list[Level] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class ServiceKind:
    """Describe one kind of call to a plain service.

    With ``keyed``, each call carries an idempotency key of its own.
    """

    name: str = attrs.field(validator=is_not_empty())
    path: str = attrs.field(validator=is_not_empty())
    weight: float = attrs.field(validator=between(0, 1000))
    method: str = attrs.field(
        default='GET',
        validator=validators.in_(('GET', 'POST')),
    )
    keyed: bool = False


@attrs.frozen(kw_only=True)
class TeamWeight:
    """Name a team and how much of the traffic it sends."""

    name: str = attrs.field(validator=is_not_empty())
    weight: float = attrs.field(validator=between(0, 1000))
    key: str = attrs.field(validator=is_not_empty())


@attrs.frozen(kw_only=True)
class Workload:
    """Hold a whole workload.

    Every ``shift_s`` seconds other variants become the hot ones.
    """

    swing: Swing
    teams: list[TeamWeight]
    completions: list[CompletionKind]
    services: list[ServiceKind] = attrs.field(factory=list)
    shift_s: float = attrs.field(default=10.0, validator=between(0.1, 3600))


def load_workload(path: Path) -> Result[Workload, Failure]:
    """Return the checked workload in the TOML file at ``path``."""
    return load_settings(Workload, path)
