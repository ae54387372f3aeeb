"""Least-squares fits with the standard error of the slope, and plots of them."""

from __future__ import annotations

import math
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, kw_only=True)
class Fit:
    """value = base + slope x.

    `error` is the slope's standard error, `fit` the share of the variance that the line explains.
    """

    base: float
    slope: float
    error: float
    fit: float
    count: int

    def at(self, *, x: float) -> float:
        """The value of the line at x."""
        return self.base + self.slope * x


def fit_line(*, points: list) -> Fit | None:
    """The line through [x, y, ...] points; None for fewer than three points, or if all x are equal."""
    xs, ys = [point[0] for point in points], [point[1] for point in points]
    count = len(points)
    mean_x, mean_y = sum(xs) / max(1, count), sum(ys) / max(1, count)
    spread = sum((x - mean_x) ** 2 for x in xs)
    if count < 3 or spread == 0:
        return None
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / spread
    base = mean_y - slope * mean_x
    residual = sum((y - base - slope * x) ** 2 for x, y in zip(xs, ys, strict=True))
    total = sum((y - mean_y) ** 2 for y in ys)
    return Fit(
        base=base,
        slope=slope,
        error=math.sqrt(residual / (count - 2) / spread),
        fit=1 - residual / total if total else 1.0,
        count=count,
    )


def fit_power(*, points: list) -> Fit | None:
    """Fit a power law: a line through the logarithms of positive points; its slope is the exponent."""
    return fit_line(points=[[math.log(x), math.log(y)] for x, y, *_ in points if x > 0 and y > 0])


def plot_points(*, figures: dict, x_name: str, file: Path, title: str) -> None:
    """Points and their lines, a panel for each figure: {name: points}."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams |= {"svg.hashsalt": "sailward", "svg.fonttype": "none"}
    from matplotlib import pyplot

    shown = {name: points for name, points in figures.items() if len(points) > 1}
    columns = min(3, max(1, len(shown)))
    rows = max(1, math.ceil(len(shown) / columns))
    figure, panels = pyplot.subplots(rows, columns, figsize=(4 * columns, 3 * rows), squeeze=False)
    for panel in panels.flat:
        panel.set_visible(False)
    for panel, (name, points) in zip(panels.flat, shown.items(), strict=False):
        panel.set_visible(True)
        panel.plot([point[0] for point in points], [point[1] for point in points], "o", markersize=4)
        line = fit_line(points=points)
        if line is not None:
            ends = [min(point[0] for point in points), max(point[0] for point in points)]
            panel.plot(ends, [line.at(x=x) for x in ends], "-", linewidth=1)
        panel.set_title(name, fontsize=9)
        panel.set_xlabel(x_name, fontsize=8)
        panel.tick_params(labelsize=7)
        panel.set_ylim(bottom=0)
    figure.suptitle(title, fontsize=10)
    figure.tight_layout()
    figure.savefig(file, metadata={"Date": None})
    pyplot.close(figure)
