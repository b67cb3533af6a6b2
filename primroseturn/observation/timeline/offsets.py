"""Repairs clock offsets from pairs of sent and received messages."""

from collections.abc import Iterable
from heapq import heappop, heappush
from typing import NamedTuple

from primroseturn.observation.catalogue import (
    CLOCK_PROBE_RECEIVED,
    CLOCK_PROBE_SENT,
)
from primroseturn.observation.timeline.records import Process, Record

# Smallest delay assumed on a link that was seen in one direction only.
DELAY_MIN_S = 0.0005


class Offset(NamedTuple):
    """What is added to a process's clock, and how far that may be wrong.

    `error_s` is infinite for a process that no message pair connects to the
    reference.
    """

    add_s: float
    error_s: float


def steady_times(records: Iterable[Record]) -> list[Record]:
    """Return the records with times that follow each process's monotonic clock.

    The wall clock of a process may be stepped; its first record anchors it.
    """
    anchors: dict[Process, float] = {}
    steady = []
    for record in sorted(records, key=lambda item: item.monotonic_s):
        offset = record.at_s - record.monotonic_s
        anchor = anchors.setdefault(record.process, offset)
        steady.append(record._replace(at_s=record.monotonic_s + anchor))
    return steady


def find_shortest(records: Iterable[Record]) -> dict[tuple[Process, Process], float]:
    """Return the least difference of receive and send time by sender and receiver."""
    records = list(records)
    sent = {
        record.fields.get("probe"): record
        for record in records
        if record.number == CLOCK_PROBE_SENT.number
    }
    shortest: dict[tuple[Process, Process], float] = {}
    for record in records:
        start = sent.get(record.fields.get("probe"))
        if record.number != CLOCK_PROBE_RECEIVED.number or start is None:
            continue
        pair = (start.process, record.process)
        delay = record.at_s - start.at_s
        shortest[pair] = min(delay, shortest.get(pair, delay))
    return shortest


def relate(
    shortest: dict[tuple[Process, Process], float], one: Process, other: Process
) -> Offset | None:
    """Return what is added to `other`'s clock to get `one`'s, if a pair tells.

    With both directions, half of the difference is the offset if the delays are
    equal; the error is at most half of the round trip.
    """
    there, back = shortest.get((one, other)), shortest.get((other, one))
    if there is not None and back is not None:
        return Offset((back - there) / 2, abs(there + back) / 2)
    if there is not None:
        return Offset(DELAY_MIN_S - there, abs(there))
    if back is not None:
        return Offset(back - DELAY_MIN_S, abs(back))
    return None


def find_offsets(records: Iterable[Record]) -> dict[Process, Offset]:
    """Return the offset of each process against the first one by name.

    Offsets are chained over the message pairs with the least total error.
    """
    records = list(records)
    processes = sorted({record.process for record in records})
    shortest = find_shortest(records)
    links: dict[Process, set[Process]] = {}
    for one, other in shortest:
        links.setdefault(one, set()).add(other)
        links.setdefault(other, set()).add(one)
    found: dict[Process, Offset] = {}
    waiting = [(0.0, 0.0, process) for process in processes[:1]]
    while waiting:
        error_s, add_s, process = heappop(waiting)
        if process in found:
            continue
        found[process] = Offset(add_s, error_s)
        for other in links.get(process, ()):
            step = relate(shortest, process, other)
            if other not in found and step is not None:
                heappush(waiting, (error_s + step.error_s, add_s + step.add_s, other))
    for process in processes:
        found.setdefault(process, Offset(0.0, float("inf")))
    return found


def merge_records(
    records: Iterable[Record],
) -> tuple[list[Record], dict[Process, Offset]]:
    """Return all records in repaired order, and the offsets that were applied."""
    steady = steady_times(records)
    offsets = find_offsets(steady)
    repaired = [
        record._replace(at_s=record.at_s + offsets[record.process].add_s)
        for record in steady
    ]
    return sorted(repaired, key=lambda record: record.at_s), offsets
