"""Corrects clock offsets by pairs of sent and received clock probes."""

from collections.abc import Iterable
from heapq import heappop, heappush
from typing import NamedTuple

from primroseturn.observation.catalogue import (
    CLOCK_PROBE_RECEIVED,
    CLOCK_PROBE_SENT,
)
from primroseturn.observation.timeline.records import Process, Record

# Smallest delay assumed on a link that has probes in one direction only.
MIN_DELAY_S = 0.0005


class Offset(NamedTuple):
    """Correction of a process's clock.

    Attributes
    ----------
    add_s
        Seconds to add to the times of the process.
    error_s
        Largest error of `add_s` in seconds; infinite for a process that no probes
        connect to the reference process.
    """

    add_s: float
    error_s: float


def follow_monotonic_clocks(records: Iterable[Record]) -> list[Record]:
    """Return the records with times that advance with each monotonic clock.

    The wall clock of a process may be stepped, so only that of its first record is
    used.
    """
    anchors: dict[Process, float] = {}
    steady_records = []
    for record in sorted(records, key=lambda item: item.monotonic_s):
        offset = record.at_s - record.monotonic_s
        anchor = anchors.setdefault(record.process, offset)
        steady_records.append(record._replace(at_s=record.monotonic_s + anchor))
    return steady_records


def find_shortest_delays(
    records: Iterable[Record],
) -> dict[tuple[Process, Process], float]:
    """Return the smallest time from sending to receiving by pair of processes.

    A pair is the sender and the receiver of probes. Each end is timed by its own clock,
    so that the difference includes the offset of the clocks.
    """
    records = list(records)
    sent_by_probe = {
        record.fields.get("probe"): record
        for record in records
        if record.number == CLOCK_PROBE_SENT.number
    }
    delays_by_pair: dict[tuple[Process, Process], float] = {}
    for record in records:
        sent = sent_by_probe.get(record.fields.get("probe"))
        if record.number != CLOCK_PROBE_RECEIVED.number or sent is None:
            continue
        pair = (sent.process, record.process)
        delay = record.at_s - sent.at_s
        delays_by_pair[pair] = min(delay, delays_by_pair.get(pair, delay))
    return delays_by_pair


def estimate_offset(
    delays_by_pair: dict[tuple[Process, Process], float], one: Process, other: Process
) -> Offset | None:
    """Return the correction of `other`'s clock to `one`'s, or None without probes.

    With probes in both directions the offset is half of the difference, which is
    exact if both delays are equal; the error is at most half of the round trip.
    """
    forward, backward = (
        delays_by_pair.get((one, other)),
        delays_by_pair.get((other, one)),
    )
    if forward is not None and backward is not None:
        return Offset((backward - forward) / 2, abs(forward + backward) / 2)
    if forward is not None:
        return Offset(MIN_DELAY_S - forward, abs(forward))
    if backward is not None:
        return Offset(backward - MIN_DELAY_S, abs(backward))
    return None


def find_offsets(records: Iterable[Record]) -> dict[Process, Offset]:
    """Return the offset of each process from the first process by name.

    Offsets are added up along the path of links with the smallest total error.
    """
    records = list(records)
    processes = sorted({record.process for record in records})
    delays_by_pair = find_shortest_delays(records)
    neighbours: dict[Process, set[Process]] = {}
    for one, other in delays_by_pair:
        neighbours.setdefault(one, set()).add(other)
        neighbours.setdefault(other, set()).add(one)
    offsets: dict[Process, Offset] = {}
    pending = [(0.0, 0.0, process) for process in processes[:1]]
    while pending:
        error_s, add_s, process = heappop(pending)
        if process in offsets:
            continue
        offsets[process] = Offset(add_s, error_s)
        for other in neighbours.get(process, ()):
            step = estimate_offset(delays_by_pair, process, other)
            if other not in offsets and step is not None:
                heappush(pending, (error_s + step.error_s, add_s + step.add_s, other))
    for process in processes:
        offsets.setdefault(process, Offset(0.0, float("inf")))
    return offsets


def merge_records(
    records: Iterable[Record],
) -> tuple[list[Record], dict[Process, Offset]]:
    """Return all records sorted by corrected time, and the offsets applied."""
    steady_records = follow_monotonic_clocks(records)
    offsets = find_offsets(steady_records)
    corrected = [
        record._replace(at_s=record.at_s + offsets[record.process].add_s)
        for record in steady_records
    ]
    return sorted(corrected, key=lambda record: record.at_s), offsets
