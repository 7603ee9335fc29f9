"""Bar plots of the measures of runs; requires the extra ``plots``."""

from pathlib import Path
from typing import Any

import orjson

from figstep.errors import FigstepError

MEASURES = {
    "stall_p99": "stall p99 per stream (ms)",
    "preemptions_per_thousand": "preemptions per 1,000",
    "gap_p99": "inter-token p99 (ms)",
}


class PlotUnavailableError(FigstepError):
    """Matplotlib is not installed."""


def read_results(paths: list[Path]) -> list[dict[str, Any]]:
    """Read result files, each with one run or a list of runs."""
    runs: list[dict[str, Any]] = []
    for path in paths:
        document = orjson.loads(path.read_bytes())
        runs += document if isinstance(document, list) else [document]
    return runs


def draw_measures(runs: list[dict[str, Any]], path: Path) -> None:
    """Draw one bar chart per measure, with a bar for each run.

    Args:
        runs: At least one run, each with a ``label`` and its measures. Only measures
            that the first run has are drawn; a run without one of them counts as 0.
        path: Path of the image; its suffix selects the format.

    Raises:
        PlotUnavailableError: If matplotlib is not installed.
    """
    try:
        import matplotlib
    except ImportError as error:
        raise PlotUnavailableError(
            "matplotlib is missing; install it with: pip install 'figstep[plots]'"
        ) from error
    matplotlib.use("Agg")
    from matplotlib import pyplot

    shown = {key: text for key, text in MEASURES.items() if key in runs[0]}
    figure, axes = pyplot.subplots(
        1, len(shown), figsize=(4 * len(shown), 4), squeeze=False
    )
    labels = [run["label"] for run in runs]
    for axis, (key, text) in zip(axes[0], shown.items(), strict=True):
        axis.bar(labels, [run.get(key, 0.0) for run in runs])
        axis.set_title(text)
        axis.tick_params(axis="x", rotation=30)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
