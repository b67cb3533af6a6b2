"""Plots detection times against false ejections."""

from math import isfinite
from pathlib import Path

from primroseturn.replay.comparison import DetectorFigures

MARKERS_BY_DETECTOR = {"consecutive": "x", "outlier": "s", "phi": "^", "cusum": "o"}


def plot_points(points: list[DetectorFigures], path: Path) -> None:
    """Write a plot with a curve per detector; the suffix of `path` sets the format."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(10, 4.2))
    sizes = sorted({point.size for point in points})
    for column, size in enumerate(sizes, 1):
        axes = figure.add_subplot(1, len(sizes), column)
        for detector, marker in MARKERS_BY_DETECTOR.items():
            detector_points = [
                point
                for point in points
                if point.size == size and point.setting.detector == detector
            ]
            draw_detector(axes, detector_points, detector, marker)
        axes.axvline(1.0, color="grey", linestyle=":")
        axes.axhline(1.0, color="grey", linestyle=":")
        axes.set_yscale("symlog", linthresh=0.1)
        axes.set_xlim(0, 3.4)
        axes.set_ylim(bottom=-0.05)
        axes.set_xlabel("worse fault's p99 detection time [s]; 3.2: missed")
        axes.set_ylabel("false ejections per 1,000 target-hours")
        axes.set_title(size)
        axes.legend()
    figure.tight_layout()
    figure.savefig(path)


def draw_detector(axes, points: list[DetectorFigures], name: str, marker: str) -> None:
    """Draw one detector's points with their thresholds."""
    xs, ys = [], []
    for point in points:
        worst = max(point.slow_p99_s, point.errors_p99_s)
        xs.append(worst if isfinite(worst) else 3.2)
        ys.append(point.false_per_1000_h)
        axes.annotate(f"{point.setting.threshold:g}", (xs[-1], ys[-1]), fontsize=7)
    axes.plot(xs, ys, marker=marker, label=name, linewidth=0.8)
