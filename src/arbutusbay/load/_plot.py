"""Plot the time to first token during a run as a PNG file."""

from collections.abc import Sequence
from pathlib import Path

from arbutusbay.load._load_generator import RequestOutcome

_FIGURE_SIZE_INCHES = (9, 4)
_MS_PER_S = 1000
_MARKER_AREA_POINTS2 = 6


def write_plot(outcomes: Sequence[RequestOutcome], path: Path) -> None:
    """Write a scatter plot with one dot for each answered request.

    The colour of a dot is the kind of the request. For service calls the
    time to the whole response is plotted.
    """
    import matplotlib as mpl

    mpl.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=_FIGURE_SIZE_INCHES)
    for name in sorted({outcome.arrival.kind.name for outcome in outcomes}):
        answered = [
            outcome
            for outcome in outcomes
            if outcome.arrival.kind.name == name and outcome.first_response_s
        ]
        axes.scatter(
            [outcome.arrival.due_s for outcome in answered],
            [outcome.first_response_s * _MS_PER_S for outcome in answered],
            s=_MARKER_AREA_POINTS2,
            label=name,
        )
    axes.set_xlabel('due time (s)')
    axes.set_ylabel('time to first token or response (ms)')
    axes.set_yscale('log')
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)
