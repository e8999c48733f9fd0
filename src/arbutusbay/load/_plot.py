"""Plot first-token times over the run as a PNG."""

from collections.abc import Sequence
from pathlib import Path

from arbutusbay.load._sender import Outcome

_SIZE_INCHES = (9, 4)
_MS_PER_S = 1000
_DOT_SIZE = 6


def write_plot(outcomes: Sequence[Outcome], path: Path) -> None:
    """Write one dot for each answered request, coloured by kind."""
    import matplotlib as mpl

    mpl.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=_SIZE_INCHES)
    for name in sorted({outcome.arrival.kind.name for outcome in outcomes}):
        answered = [
            outcome
            for outcome in outcomes
            if outcome.arrival.kind.name == name and outcome.first_s
        ]
        axes.scatter(
            [outcome.arrival.due_s for outcome in answered],
            [outcome.first_s * _MS_PER_S for outcome in answered],
            s=_DOT_SIZE,
            label=name,
        )
    axes.set_xlabel('due time (s)')
    axes.set_ylabel('time to first token or answer (ms)')
    axes.set_yscale('log')
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)
