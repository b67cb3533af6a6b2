"""Draws a timeline as SVG."""

from collections.abc import Sequence
from pathlib import Path

from matplotlib import rc_context
from matplotlib.figure import Figure

from primroseturn.observation.timeline.records import Record

WIDTH_IN = 12.0
ROW_HEIGHT_IN = 0.5
MARGIN_IN = 1.6
MARKER_AREA_POINTS = 36
MAX_LEGEND_EVENTS = 20
# With a fixed salt for the ids and no date, the same records give the same file.
HASH_SALT = "primroseturn"


def draw_timeline(records: Sequence[Record], path: Path) -> None:
    """Write an SVG file with a row per process and a colour per kind of event.

    Parameters
    ----------
    records
        At least one record, sorted by time.
    path
        SVG file to write.
    """
    processes = sorted({record.process for record in records})
    rows = {process: number for number, process in enumerate(processes)}
    start = records[0].at_s
    figure = Figure(figsize=(WIDTH_IN, MARGIN_IN + ROW_HEIGHT_IN * len(processes)))
    axes = figure.add_subplot()
    names = sorted({(record.number, record.name) for record in records})
    for position, (number, name) in enumerate(names):
        matching = [record for record in records if record.number == number]
        axes.scatter(
            [record.at_s - start for record in matching],
            [rows[record.process] for record in matching],
            s=MARKER_AREA_POINTS,
            label=f"{number} {name}" if position < MAX_LEGEND_EVENTS else None,
        )
    axes.set_yticks(
        list(rows.values()), [f"{item.vm} {item.incarnation}" for item in rows]
    )
    axes.set_xlabel("seconds since the first event, clocks corrected")
    axes.grid(axis="x", alpha=0.3)
    axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize="small")
    with rc_context({"svg.hashsalt": HASH_SALT, "svg.fonttype": "none"}):
        figure.savefig(path, format="svg", bbox_inches="tight", metadata={"Date": None})
