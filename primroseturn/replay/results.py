"""Results of a replay and their check against the outcomes that the trace states."""

from collections import Counter
from statistics import median
from typing import Any, NamedTuple

from primroseturn.detection.evidence import ALL_CLASSES, EvidenceKey
from primroseturn.replay.trace import Expect, replay_end_s, Trace

# Requests in this time at the start of a replay are not measured; they only warm up the
# VMs.
WARM_UP_S = 1.5


class EjectionChange(NamedTuple):
    """An ejection or a return of a target at one VM.

    Attributes
    ----------
    is_ejection
        Whether it is an ejection.
    was_faulty
        Whether the trace made the target misbehave at that time.
    """

    at_s: float
    vm: str
    key: EvidenceKey
    is_ejection: bool
    was_faulty: bool


class Check(NamedTuple):
    """A stated outcome, the measured value, and whether the outcome was met.

    `measured` is None if the measured event did not happen.
    """

    expect: Expect
    measured: float | None
    met: bool


class Tally:
    """Counts and latencies of a replay.

    Attributes
    ----------
    latencies_by_workspace
        Latencies in seconds of served requests, without downloads.
    senders_by_target
        VMs that send requests to a target while all targets are healthy.
    sheds
        Requests that targets shed.
    """

    def __init__(self) -> None:
        self.requests = 0
        self.served = 0
        self.attempts = 0
        self.retries = 0
        self.refusals = Counter()
        self.latencies_by_workspace: dict[str, list[float]] = {}
        self.changes: list[EjectionChange] = []
        self.floor_breaches = 0
        self.digest_bytes = 0
        self.senders_by_target: dict[str, set[str]] = {}
        self.sheds = 0
        self.busiest_share = 0.0

    def record_served(self, workspace: str, latency_s: float, download: bool) -> None:
        """Count a served request; downloads have no latency target."""
        self.served += 1
        if download:
            return
        self.latencies_by_workspace.setdefault(workspace, []).append(latency_s)


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of values, or 0 without values.

    It is the value at index `share * len(values)`, rounded down, of the sorted values.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def detection_s(tally: Tally, expect: Expect) -> float | None:
    """Return the seconds until the last VM that sends to a target has ejected it.

    The result is None if one of these VMs has not ejected it.
    """
    vms = tally.senders_by_target.get(expect.target, set())
    first_ejection_by_vm: dict[str, float] = {}
    scopes = {ALL_CLASSES, expect.route_class} if expect.route_class else {ALL_CLASSES}
    for change in tally.changes:
        if (
            change.is_ejection
            and change.key.target == expect.target
            and change.key.route_class in scopes
            and change.at_s >= expect.since_s
        ):
            first_ejection_by_vm.setdefault(change.vm, change.at_s)
    if not vms or not vms <= first_ejection_by_vm.keys():
        return None
    return max(first_ejection_by_vm[vm] for vm in vms) - expect.since_s


def worst_workspace_ratio(tally: Tally, left_out: str) -> float:
    """Return the highest p99 latency of a workspace over the median p99 of all.

    Parameters
    ----------
    left_out
        Name of a workspace that is not compared.
    """
    p99s = [
        quantile(values, 0.99)
        for name, values in tally.latencies_by_workspace.items()
        if name != left_out
    ]
    return max(p99s) / median(p99s) if p99s else 0.0


def measured_value(tally: Tally, expect: Expect) -> float | None:
    """Return the measured value of a stated outcome."""
    if expect.measure == "detection_s":
        return detection_s(tally, expect)
    if expect.measure == "false_ejections":
        false_ejections = [
            item for item in tally.changes if item.is_ejection and not item.was_faulty
        ]
        return float(len(false_ejections))
    if expect.measure == "ejections":
        return float(sum(item.is_ejection for item in tally.changes))
    if expect.measure == "worst_workspace_ratio":
        return worst_workspace_ratio(tally, expect.neighbour)
    if expect.measure == "added_load":
        return tally.retries / max(1, tally.requests)
    if expect.measure == "served_share":
        return tally.served / max(1, tally.requests)
    return float(tally.floor_breaches)


def check_outcome(tally: Tally, expect: Expect) -> Check:
    """Compare a stated outcome with the measured value."""
    value = measured_value(tally, expect)
    met = value is not None
    if value is not None and expect.most is not None:
        met = met and value <= expect.most
    if value is not None and expect.least is not None:
        met = met and value >= expect.least
    return Check(expect, value, met)


class Report(NamedTuple):
    """Report of one replay.

    Attributes
    ----------
    name
        Name of the trace.
    figures
        Measured values by name, in the units that the names state.
    """

    name: str
    checks: list[Check]
    figures: dict[str, Any]

    def passed(self) -> bool:
        """Return whether every stated outcome was met."""
        return all(item.met for item in self.checks)


def summarise_replay(trace: Trace, tally: Tally) -> Report:
    """Return the report of a finished replay."""
    latencies = [v for values in tally.latencies_by_workspace.values() for v in values]
    measured_s = replay_end_s(trace)
    figures = {
        "requests": tally.requests,
        "served": tally.served,
        "retries": tally.retries,
        "refusals": dict(tally.refusals),
        "p50_ms": round(1000 * quantile(latencies, 0.5), 1),
        "p99_ms": round(1000 * quantile(latencies, 0.99), 1),
        "ejections": sum(item.is_ejection for item in tally.changes),
        "sheds": tally.sheds,
        "digest_bytes_per_vm_s": round(
            tally.digest_bytes / trace.fleet.vms / measured_s
        ),
    }
    checks = [check_outcome(tally, item) for item in trace.expectations]
    return Report(trace.name, checks, figures)
