"""Outcomes of a replay and their check against what the trace states."""

from collections import Counter
from statistics import median
from typing import Any, NamedTuple

from primroseturn.detection.evidence import ALL_CLASSES, EvidenceKey
from primroseturn.replay.trace import end_of, Expect, Trace

# Requests before this time only warm the fleet up and are not measured.
WARM_S = 1.5


class Change(NamedTuple):
    """An ejection or a return of a target at one VM."""

    at_s: float
    vm: str
    key: EvidenceKey
    ejected: bool
    faulty: bool


class Check(NamedTuple):
    """A stated outcome and what was measured; None means it never happened."""

    expect: Expect
    measured: float | None
    met: bool


class Tally:
    """Counts and latencies gathered during a replay."""

    def __init__(self) -> None:
        self.requests = 0
        self.served = 0
        self.attempts = 0
        self.retries = 0
        self.refusals = Counter()
        self.latencies_by_workspace: dict[str, list[float]] = {}
        self.changes: list[Change] = []
        self.floor_breaches = 0
        self.digest_bytes = 0
        self.users_by_target: dict[str, set[str]] = {}
        self.sheds = 0
        self.busiest_share = 0.0

    def note_served(self, workspace: str, latency_s: float, download: bool) -> None:
        """Count a request that got its answer; downloads have no latency target."""
        self.served += 1
        if download:
            return
        self.latencies_by_workspace.setdefault(workspace, []).append(latency_s)


def quantile(values: list[float], share: float) -> float:
    """Return a quantile by the nearest rank, 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def detection_s(tally: Tally, expect: Expect) -> float | None:
    """Return the time until every VM that uses a target had ejected it."""
    vms = tally.users_by_target.get(expect.target, set())
    first_by_vm: dict[str, float] = {}
    scopes = {ALL_CLASSES, expect.route_class} if expect.route_class else {ALL_CLASSES}
    for change in tally.changes:
        if (
            change.ejected
            and change.key.target == expect.target
            and change.key.route_class in scopes
            and change.at_s >= expect.since_s
        ):
            first_by_vm.setdefault(change.vm, change.at_s)
    if not vms or not vms <= first_by_vm.keys():
        return None
    return max(first_by_vm[vm] for vm in vms) - expect.since_s


def workspace_ratio(tally: Tally, neighbour: str) -> float:
    """Return the worst workspace's p99 latency over that of the median one."""
    p99s = [
        quantile(values, 0.99)
        for name, values in tally.latencies_by_workspace.items()
        if name != neighbour
    ]
    return max(p99s) / median(p99s) if p99s else 0.0


def measure(tally: Tally, expect: Expect) -> float | None:
    """Return the measured value of a stated outcome."""
    if expect.measure == "detection_s":
        return detection_s(tally, expect)
    if expect.measure == "false_ejections":
        wrong = [item for item in tally.changes if item.ejected and not item.faulty]
        return float(len(wrong))
    if expect.measure == "ejections":
        return float(sum(item.ejected for item in tally.changes))
    if expect.measure == "worst_workspace_ratio":
        return workspace_ratio(tally, expect.neighbour)
    if expect.measure == "added_load":
        return tally.retries / max(1, tally.requests)
    if expect.measure == "served_share":
        return tally.served / max(1, tally.requests)
    return float(tally.floor_breaches)


def check(tally: Tally, expect: Expect) -> Check:
    """Compare a stated outcome with the measured one."""
    value = measure(tally, expect)
    met = value is not None
    if value is not None and expect.most is not None:
        met = met and value <= expect.most
    if value is not None and expect.least is not None:
        met = met and value >= expect.least
    return Check(expect, value, met)


class Report(NamedTuple):
    """Result of one replay."""

    name: str
    checks: list[Check]
    figures: dict[str, Any]

    def passed(self) -> bool:
        """Return whether every stated outcome was met."""
        return all(item.met for item in self.checks)


def summarise(trace: Trace, tally: Tally) -> Report:
    """Return the report of a finished replay."""
    latencies = [v for values in tally.latencies_by_workspace.values() for v in values]
    measured_s = end_of(trace)
    figures = {
        "requests": tally.requests,
        "served": tally.served,
        "retries": tally.retries,
        "refusals": dict(tally.refusals),
        "p50_ms": round(1000 * quantile(latencies, 0.5), 1),
        "p99_ms": round(1000 * quantile(latencies, 0.99), 1),
        "ejections": sum(item.ejected for item in tally.changes),
        "sheds": tally.sheds,
        "digest_bytes_per_vm_s": round(
            tally.digest_bytes / trace.fleet.vms / measured_s
        ),
    }
    checks = [check(tally, item) for item in trace.expectations]
    return Report(trace.name, checks, figures)
