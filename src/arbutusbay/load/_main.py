"""Run the load generator and report the results that clients observed.

The requests are generated from a workload file and a random seed.
"""

import argparse
import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import orjson
import uvloop
from result import Err, Ok

from arbutusbay.load._arrivals import generate_arrivals
from arbutusbay.load._load_generator import LoadGenerator, RequestOutcome
from arbutusbay.load._report import build_report
from arbutusbay.load._workload import Workload, load_workload

_EXIT_INVALID = 2
_DEFAULT_DURATION_S = 20.0


def main(arguments: Sequence[str] | None = None) -> None:
    """Run ``arbutusbay-load``; exit with 2 if the workload is invalid."""
    options = _build_parser().parse_args(arguments)
    match load_workload(options.workload):
        case Err(failure):
            sys.stderr.write(f'arbutusbay-load: {failure.detail}\n')
            sys.exit(_EXIT_INVALID)
        case Ok(workload):
            pass
    outcomes = run_workload(
        workload,
        routers=options.router,
        seed=options.seed,
        duration_s=options.duration,
    )
    report = build_report(outcomes, options.duration)
    _write_report(report, options.report)
    if options.plot is not None:
        from arbutusbay.load._plot import write_plot

        write_plot(outcomes, options.plot)


def run_workload(
    workload: Workload,
    *,
    routers: Sequence[str],
    seed: int,
    duration_s: float,
) -> list[RequestOutcome]:
    """Send the workload for ``duration_s`` seconds and return all outcomes.

    Returns once every request has ended, which may take longer. ``routers``
    are base URLs, to which requests are sent in turn.
    """
    arrivals = generate_arrivals(workload, seed=seed, duration_s=duration_s)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(LoadGenerator(routers=routers).send_all(arrivals))


def _write_report(report: dict[str, Any], path: Path | None) -> None:
    text = orjson.dumps(report, option=orjson.OPT_INDENT_2).decode()
    if path is None:
        sys.stdout.write(f'{text}\n')
    else:
        path.write_text(text, encoding='utf-8')


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='arbutusbay-load')
    parser.add_argument('--workload', type=Path, required=True)
    parser.add_argument(
        '--router',
        action='append',
        required=True,
        metavar='URL',
        help='URL of a router; can be given more than once',
    )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--duration',
        type=float,
        default=_DEFAULT_DURATION_S,
        metavar='SECONDS',
    )
    parser.add_argument(
        '--report', type=Path, help='JSON file to write the report to'
    )
    parser.add_argument(
        '--plot', type=Path, help='PNG file to write the plot to'
    )
    return parser
