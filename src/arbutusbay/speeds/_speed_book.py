"""Keep the evidence on all backend servers, and compare it by service."""

import itertools
import math
from collections.abc import Collection, Iterable, Mapping, Sequence

import attrs

from arbutusbay.speeds._evidence import Evidence
from arbutusbay.speeds._reports import (
    MAX_REPORTED_LINES,
    SampleSum,
    SampleWindows,
)
from arbutusbay.speeds._server_speed import ServerSpeed
from arbutusbay.speeds._types import LOAD_LEVELS, SpeedEstimate
from arbutusbay.speeds._work_times import WorkLine, WorkTime

_MAX_LOG_RATIO = math.log(6)
_MIN_DURATION_S = 0.000001
_MAX_LOG_SPEED = math.log(4)
_DEAD_BAND = 0.1
_SIGNIFICANT_DEVIATIONS = 3.0
_PRIOR_SAMPLES = 2.0
ESTIMATE_LIFETIME_S = 0.1
# A sender whose windows fall back by more than this has restarted.
_RESTART_WINDOWS = 50
_MAX_KINDS_OF_WORK = 64
_INITIAL_NOISE = 0.25
_NOISE_SMOOTHING = 0.02


@attrs.frozen(kw_only=True)
class SpeedSample:
    """Describe work that a backend server did.

    ``pool`` is the service whose servers are compared, ``work`` the kind of
    the work, of which there were ``units`` (prompt tokens, 0 for a call).
    ``duration_s`` is without the slowdown that the server reported. ``level``
    is the load that it had, see ``load_level``.
    """

    server: str
    incarnation: int
    pool: str
    work: str
    units: float
    duration_s: float
    level: int


@attrs.frozen(kw_only=True)
class ServerIdentity:
    """Name the incarnation that a server runs as, and its service."""

    incarnation: int
    pool: str


@attrs.frozen(kw_only=True)
class PoolEstimates:
    """Hold the estimates of the servers of a service."""

    computed_s: float
    by_server: Mapping[str, SpeedEstimate]


@attrs.define(kw_only=True)
class Pool:
    """Hold what is common to the servers of a service.

    ``work_times`` maps kinds of work to their time at a usual server,
    ``noise`` is the mean square of a sample's deviation from its server's mean,
    both logarithms.
    """

    work_times: dict[str, WorkTime] = attrs.field(factory=dict)
    noise: float = _INITIAL_NOISE


@attrs.define(kw_only=True)
class SpeedBook:
    """Collect samples and reports, and estimate the speed of each server.

    ``windows_by_sender`` holds the number of the newest window that each VM
    has reported, ``known_estimates`` the last estimates of each service, which
    are kept for a moment.
    """

    servers: dict[str, ServerSpeed] = attrs.field(factory=dict)
    pools: dict[str, Pool] = attrs.field(factory=dict)
    windows: SampleWindows = attrs.field(factory=SampleWindows)
    windows_by_sender: dict[str, int] = attrs.field(factory=dict)
    known_estimates: dict[str, PoolEstimates] = attrs.field(factory=dict)

    def record(self, sample: SpeedSample, now_s: float) -> None:
        """Add a sample that this VM measured, unless it is outdated.

        Work that should take no time says nothing of the speed.

        The time of a usual server follows from the estimate as it was before,
        so that VMs which send to different servers come to the same one.
        """
        running = self.servers.get(sample.server)
        if running and sample.incarnation < running.incarnation:
            return
        pool = self.pools.setdefault(sample.pool, Pool())
        work_time = pool.work_times.setdefault(sample.work, WorkTime())
        duration_s = max(_MIN_DURATION_S, sample.duration_s)
        known = self.estimates(sample.pool, now_s)
        speed = known.get(sample.server, SpeedEstimate()).speed
        expected_s = work_time.expected_s(sample.units)
        if work_time.is_known and not expected_s:
            return
        if work_time.is_known:
            ratio = duration_s / expected_s
            self._add_own(sample, pool, _clip(math.log(ratio)), now_s)
        work_time.record(sample.units, duration_s * speed)

    def merge_report(
        self,
        sender: str,
        windows: Mapping[int, Sequence[SampleSum]],
        running: Mapping[str, ServerIdentity],
        now_s: float,
    ) -> None:
        """Add what another VM measured of the ``running`` servers.

        Windows that were merged before are left out, and so is what is about
        another incarnation of a server.
        """
        if not windows:
            return
        newest = max(windows)
        merged = self.windows_by_sender.get(sender, -1)
        if newest + _RESTART_WINDOWS < merged:
            merged = -1
        self.windows_by_sender[sender] = max(merged, newest)
        for number, sums in windows.items():
            if number > merged:
                self._merge_window(sums, running, now_s)

    def adopt_lines(self, lines: Mapping[tuple[str, str], WorkLine]) -> None:
        """Use what another VM found where this one has too few samples."""
        for (pool_name, work), line in lines.items():
            work_times = self.pools.setdefault(pool_name, Pool()).work_times
            if work in work_times or len(work_times) < _MAX_KINDS_OF_WORK:
                work_times.setdefault(work, WorkTime()).adopt(line)

    def expected_s(self, pool_name: str, work: str) -> float:
        """Return how long work without units takes, 0 if it isn't known."""
        pool = self.pools.get(pool_name)
        known = pool.work_times.get(work) if pool else None
        return known.expected_s(0) if known and known.is_known else 0.0

    def lines(self) -> Mapping[tuple[str, str], WorkLine]:
        """Return how long work takes, as far as this VM found it itself."""
        found = (
            ((pool_name, work), work_time.line())
            for pool_name, pool in self.pools.items()
            for work, work_time in pool.work_times.items()
        )
        known = ((key, line) for key, line in found if line is not None)
        return dict(itertools.islice(known, MAX_REPORTED_LINES))

    def drop_former(self, incarnations: Mapping[str, int]) -> None:
        """Forget servers whose incarnation is not the one that now runs."""
        for server_id, incarnation in incarnations.items():
            known = self.servers.get(server_id)
            if known and known.incarnation != incarnation:
                self.servers.pop(server_id)
                self.known_estimates.pop(known.pool, None)

    def drop_senders(self, names: Collection[str]) -> None:
        """Forget which windows VMs that are gone have reported."""
        for name in names:
            self.windows_by_sender.pop(name, None)

    def report(self, now_s: float) -> Mapping[int, tuple[SampleSum, ...]]:
        """Return this VM's own samples of late, for the other VMs."""
        return self.windows.ended(now_s)

    def estimates(
        self, pool_name: str, now_s: float
    ) -> Mapping[str, SpeedEstimate]:
        """Return the estimate of each server of a service with evidence.

        A server without any has the usual speed.
        """
        known = self.known_estimates.get(pool_name)
        if known is None or now_s - known.computed_s >= ESTIMATE_LIFETIME_S:
            known = PoolEstimates(
                computed_s=now_s, by_server=self._estimate(pool_name, now_s)
            )
            self.known_estimates[pool_name] = known
        return known.by_server

    def _estimate(
        self, pool_name: str, now_s: float
    ) -> Mapping[str, SpeedEstimate]:
        known = {
            name: server
            for name, server in self.servers.items()
            if server.pool == pool_name
        }
        for name, server in known.items():
            server.update(now_s)
            if server.is_forgotten():
                self.servers.pop(name)
        usual = _usual_mean(known.values())
        noise = self.pools.setdefault(pool_name, Pool()).noise
        return {
            name: SpeedEstimate(
                speed=_relative_speed(server.lasting, usual, noise),
                momentary_slowdown=server.momentary_slowdown(noise),
                taken_share=server.taken_levels / LOAD_LEVELS,
            )
            for name, server in known.items()
        }

    def _add_own(
        self, sample: SpeedSample, pool: Pool, log_ratio: float, now_s: float
    ) -> None:
        server = self._server(sample.server, sample.incarnation, sample.pool)
        if server.lasting.weight >= 1:
            deviation = (log_ratio - server.lasting.mean) ** 2
            pool.noise += _NOISE_SMOOTHING * (deviation - pool.noise)
        server.add(sample.level, 1, log_ratio, now_s)
        self.windows.add(
            sample.server, sample.incarnation, sample.level, log_ratio, now_s
        )

    def _merge_window(
        self,
        sums: Sequence[SampleSum],
        running: Mapping[str, ServerIdentity],
        now_s: float,
    ) -> None:
        for part in sums:
            identity = running.get(part.server)
            if identity and identity.incarnation == part.incarnation:
                server = self._server(
                    part.server, part.incarnation, identity.pool
                )
                total = part.count * _clip(part.total / part.count)
                server.add(part.level, part.count, total, now_s)

    def _server(
        self, server_id: str, incarnation: int, pool: str
    ) -> ServerSpeed:
        """Return the evidence on a server, which a restart discards."""
        known = self.servers.get(server_id)
        is_same = known and known.incarnation == incarnation
        if known is None or not is_same or known.pool != pool:
            known = ServerSpeed(incarnation=incarnation, pool=pool)
            self.servers[server_id] = known
        return known


def _clip(log_ratio: float) -> float:
    return max(-_MAX_LOG_RATIO, min(_MAX_LOG_RATIO, log_ratio))


def _usual_mean(servers: Iterable[ServerSpeed]) -> float:
    """Return the mean logarithm over servers, weighted by their samples."""
    trusted = [(_trust(server.lasting), server) for server in servers]
    total = sum(trust for trust, _ in trusted)
    if not total:
        return 0.0
    return sum(trust * server.lasting.mean for trust, server in trusted) / total


def _relative_speed(lasting: Evidence, usual: float, noise: float) -> float:
    """Return the speed, 1 unless samples differ clearly from the usual."""
    if not lasting.weight:
        return 1.0
    deviation = lasting.mean - usual
    error = _SIGNIFICANT_DEVIATIONS * math.sqrt(noise / lasting.weight)
    if abs(deviation) <= max(_DEAD_BAND, error):
        return 1.0
    log_speed = -deviation * _trust(lasting)
    return math.exp(max(-_MAX_LOG_SPEED, min(_MAX_LOG_SPEED, log_speed)))


def _trust(lasting: Evidence) -> float:
    """Return the share of a deviation that few samples are trusted with."""
    return lasting.weight / (lasting.weight + _PRIOR_SAMPLES)
