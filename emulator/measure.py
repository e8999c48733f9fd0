"""Benchmark the placement policies on the same workloads and seeds.

The scenarios are undisturbed, slow engines and crashing engines. Prints one
table per workload and scenario and writes all reports as JSON if asked.
"""

import argparse
import itertools
import statistics
import sys
import threading
import time
from collections.abc import Sequence
from pathlib import Path
from types import MappingProxyType
from typing import Any

import attrs
import orjson
from tabulate import tabulate

from arbutusbay.load import build_report, load_workload, run_workload
from emulator.cluster import (
    Cluster,
    ClusterOptions,
    call_json,
    running_cluster,
)

_EXAMPLES = Path(__file__).resolve().parent.parent / 'examples'
_VMS = 3
_ZONES = MappingProxyType(
    {
        'sahel': ('plateau', 'hann', 'rufisque'),
        'correa': ('mx-norte-a', 'mx-norte-b', 'mx-norte-c'),
    }
)
_SLOW_FACTOR = 5.0
_FAULTY_ENGINE_COUNT = 2
_WARMUP_S = 0.5
_DURATION_S = 20
_ENGINE_ARGUMENTS = ('--capacity-blocks', '900')
_POLICIES = ('cost', 'rendezvous', 'fewest_in_flight', 'round_robin')
_SCENARIOS = ('calm', 'stragglers', 'crashes')
_HEADERS = (
    'policy',
    'hit rate',
    'computed tokens',
    'p95 first ms',
    'p99 first ms',
    'crest urgent p99 ms',
    'complete',
    'requests',
)


@attrs.frozen(kw_only=True)
class Trial:
    """Identify one run of a workload.

    The policy ``omniscient`` is an upper bound: cost-based placement on one
    VM, with immediate and lossless reports of the engines.
    """

    workload: str
    scenario: str
    policy: str
    seed: int
    duration_s: float
    vms: int


def main() -> None:
    """Run all combinations of the arguments and print the results."""
    options = _build_parser().parse_args()
    reports = [
        {'trial': attrs.asdict(trial), 'report': run_trial(trial)}
        for trial in _trials_from_options(options)
    ]
    for workload in options.workload:
        for scenario in options.scenario:
            _print_table(reports, workload, scenario)
    if options.report is not None:
        options.report.write_bytes(orjson.dumps(reports))


def run_trial(trial: Trial) -> dict[str, Any]:
    """Run one trial on a new cluster and return the load report."""
    workload_path = _EXAMPLES / 'workloads' / f'{trial.workload}.toml'
    workload = load_workload(workload_path).unwrap()
    omniscient = trial.policy == 'omniscient'
    vms = 1 if omniscient else trial.vms
    options = ClusterOptions(
        example=_EXAMPLES / f'{trial.workload}.toml',
        zones=_zones(trial.workload, vms),
        router_settings={'policy': 'cost' if omniscient else trial.policy},
        engine_arguments=_engine_arguments(omniscient=omniscient),
    )
    with running_cluster(options) as cluster:
        time.sleep(_WARMUP_S)
        fault_injector = threading.Thread(
            target=_inject_faults, args=(cluster, trial)
        )
        fault_injector.start()
        outcomes = run_workload(
            workload,
            routers=[node.router.url for node in cluster.nodes],
            seed=trial.seed,
            duration_s=trial.duration_s,
        )
        fault_injector.join()
    report = build_report(outcomes, trial.duration_s)
    _print_line(f'{trial}: hit rate {report["prefix_hit_rate"]}')
    return report


def _engine_arguments(*, omniscient: bool) -> Sequence[str]:
    if not omniscient:
        return _ENGINE_ARGUMENTS
    immediate_reports = (
        '--event-loss',
        '0',
        '--event-lag-s',
        '0',
        '--load-lag-s',
    )
    return (*_ENGINE_ARGUMENTS, *immediate_reports, '0.02')


def _inject_faults(cluster: Cluster, trial: Trial) -> None:
    match trial.scenario:
        case 'stragglers':
            for engine in cluster.engines()[:_FAULTY_ENGINE_COUNT]:
                faults = {'slow_factor': _SLOW_FACTOR}
                call_json(f'{engine.url}/faults', faults)
        case 'crashes':
            for engine in cluster.engines()[:_FAULTY_ENGINE_COUNT]:
                time.sleep(trial.duration_s / (_FAULTY_ENGINE_COUNT + 1))
                engine.kill()
                engine.start()


def _trials_from_options(options: argparse.Namespace) -> list[Trial]:
    combinations = itertools.product(
        options.workload,
        options.scenario,
        options.seed,
        options.policy,
    )
    return [
        Trial(
            workload=workload,
            scenario=scenario,
            policy=policy,
            seed=seed,
            duration_s=options.duration,
            vms=options.vms,
        )
        for workload, scenario, seed, policy in combinations
    ]


def _print_table(
    reports: Sequence[dict[str, Any]],
    workload: str,
    scenario: str,
) -> None:
    selected = [
        report
        for report in reports
        if report['trial']['workload'] == workload
        and report['trial']['scenario'] == scenario
    ]
    policies = dict.fromkeys(report['trial']['policy'] for report in selected)
    rows = [
        _table_row(
            policy,
            [
                report['report']
                for report in selected
                if report['trial']['policy'] == policy
            ],
        )
        for policy in policies
    ]
    _print_line(f'\n{workload}, {scenario}: medians over all seeds')
    _print_line(tabulate(rows, headers=_HEADERS, tablefmt='github'))


def _table_row(policy: str, reports: Sequence[dict[str, Any]]) -> Sequence[Any]:
    columns = [
        (
            report['prefix_hit_rate'],
            report['computed_tokens'],
            report['first_token_ms']['p95'],
            report['first_token_ms']['p99'],
            report['crest_urgent_first_token_ms']['p99'],
            report['complete'],
            report['requests'],
        )
        for report in reports
    ]
    return [
        policy,
        *(statistics.median(column) for column in zip(*columns, strict=True)),
    ]


def _zones(workload: str, vms: int) -> Sequence[str]:
    zones = _ZONES[workload]
    return [zones[number % len(zones)] for number in range(vms)]


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='measure')
    choices = {
        'workload': ['sahel', 'correa'],
        'scenario': list(_SCENARIOS),
        'policy': [*_POLICIES, 'omniscient'],
    }
    for name, allowed in choices.items():
        parser.add_argument(
            f'--{name}',
            nargs='+',
            choices=allowed,
            default=allowed,
        )
    parser.add_argument('--seed', nargs='+', type=int, default=[1, 2, 3])
    parser.add_argument('--duration', type=float, default=_DURATION_S)
    parser.add_argument('--vms', type=int, default=_VMS)
    parser.add_argument('--report', type=Path)
    return parser


if __name__ == '__main__':
    main()
