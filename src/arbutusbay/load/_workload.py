"""Define and read workload files.

A workload consists of kinds of requests, the teams that send them and the
arrival rate over time.
"""

from pathlib import Path

import attrs
from attrs import validators
from result import Result

from arbutusbay.errors import Failure
from arbutusbay.settings import between, is_not_empty, load_settings


@attrs.frozen(kw_only=True)
class ArrivalRate:
    """Describe the arrival rate of requests over time.

    The mean rate is ``rate_per_s``, but ``crest_factor`` times as high in
    the last ``crest_s`` seconds of every ``period_s`` seconds.
    """

    rate_per_s: float = attrs.field(validator=between(0.1, 10_000))
    crest_factor: float = attrs.field(default=1.0, validator=between(1, 100))
    period_s: float = attrs.field(default=10.0, validator=between(0.1, 3600))
    crest_s: float = attrs.field(default=0.0, validator=between(0, 3600))


@attrs.frozen(kw_only=True)
class PrefixLevel:
    """Describe one level of nested prompt prefixes.

    Each prompt uses one of ``variants`` texts of ``tokens`` tokens. Their
    popularity follows a Zipf distribution with the exponent ``skew``.
    """

    tokens: int = attrs.field(validator=between(1, 100_000))
    variants: int = attrs.field(validator=between(1, 1_000_000))
    skew: float = attrs.field(default=1.0, validator=between(0, 5))


@attrs.frozen(kw_only=True)
class CompletionKind:
    """Describe one kind of completion request.

    ``weight`` is its relative share of all requests. The prompt has a text
    of each of the ``levels``, outermost first, then a unique question of
    ``question_tokens`` tokens. The report also lists the
    latencies of ``urgent`` kinds separately.
    """

    name: str = attrs.field(validator=is_not_empty())
    model: str = attrs.field(validator=is_not_empty())
    weight: float = attrs.field(validator=between(0, 1000))
    max_tokens: int = attrs.field(validator=between(1, 32_768))
    question_tokens: int = attrs.field(validator=between(1, 100_000))
    urgent: bool = False
    levels: list[PrefixLevel] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class ServiceCallKind:
    """Describe one kind of call to a plain HTTP service.

    ``weight`` is its relative share of all requests. If ``keyed``, each call
    carries a unique idempotency key.
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
class WorkloadTeam:
    """Describe a team, its API key and its relative share of the traffic."""

    name: str = attrs.field(validator=is_not_empty())
    weight: float = attrs.field(validator=between(0, 1000))
    key: str = attrs.field(validator=is_not_empty())


@attrs.frozen(kw_only=True)
class Workload:
    """Describe a workload.

    Every ``shift_s`` seconds, the popularity of the variants of each prefix
    level shifts to other variants.
    """

    swing: ArrivalRate
    teams: list[WorkloadTeam]
    completions: list[CompletionKind]
    services: list[ServiceCallKind] = attrs.field(factory=list)
    shift_s: float = attrs.field(default=10.0, validator=between(0.1, 3600))


def load_workload(path: Path) -> Result[Workload, Failure]:
    """Return the validated workload from the TOML file at ``path``.

    Returns a ``BAD_REQUEST`` failure if the file can't be read or parsed, or
    if a value is invalid.
    """
    return load_settings(Workload, path)
