"""Counts that are collected for fleet digests, and when they are sent."""

from primroseturn.entry.digest_messages import (
    CenterReport,
    Digest,
    LoadReport,
    OutcomeCount,
    RefusalCount,
)
from primroseturn.limits.quota import RankUsage, Usage

# Interval in seconds of empty digests, which show that the sender is alive.
HEARTBEAT_INTERVAL_S = 0.25
# Shortest time in seconds between two urgent digests, and the tolerance by which other
# digests may be sent before their interval has passed.
MIN_GAP_S = 0.03
# Requests of one workspace that make the next digest urgent.
URGENT_REQUESTS = 4
# Items of each kind in one digest, so that it fits a datagram.
MAX_ITEMS = 15
# Live VMs listed in one digest; a data centre has some dozens.
MAX_LIVE_VMS = 40


class DigestCounts:
    """Counts that are collected for the next digest.

    Attributes
    ----------
    outcomes_by_target
        Numbers of failed, of successful and of unanswered requests.
    remote_outcomes_by_target
        The same at VMs of other data centres.
    load_by_target
        Last reported number of requests at the target.
    usage_by_workspace
        Numbers of requested and of admitted requests.
    refused_by_service
        Numbers of attempts that targets refused, each in a list of its own.
    rank_usage_by_workspace
        Numbers of requested requests of ranks 1 and 2.
    is_urgent
        Whether the counts should be sent before the next interval.
    """

    def __init__(self) -> None:
        self.outcomes_by_target: dict[str, list[int]] = {}
        self.remote_outcomes_by_target: dict[str, list[int]] = {}
        self.load_by_target: dict[str, int] = {}
        self.usage_by_workspace: dict[str, list[int]] = {}
        self.refused_by_service: dict[str, list[int]] = {}
        self.rank_usage_by_workspace: dict[str, list[int]] = {}
        self.is_urgent = False

    def has_content(self) -> bool:
        """Return whether there are any counts."""
        return bool(
            self.outcomes_by_target
            or self.remote_outcomes_by_target
            or self.load_by_target
            or self.usage_by_workspace
            or self.refused_by_service
        )

    def add_outcome(
        self,
        target: str,
        failed: int,
        succeeded: int,
        missing: int = 0,
        is_remote: bool = False,
    ) -> None:
        """Add outcomes of a target; a failure makes the counts urgent."""
        counts_by_target = (
            self.remote_outcomes_by_target if is_remote else self.outcomes_by_target
        )
        counts = counts_by_target.setdefault(target, [0, 0, 0])
        counts[0] += failed
        counts[1] += succeeded
        counts[2] += missing
        self.is_urgent = self.is_urgent or failed > 0 or missing > 0

    def add_usage(self, usage: tuple[Usage, ...]) -> None:
        """Add usage of workspaces; many requests of one make the counts urgent."""
        for item in usage:
            counts = self.usage_by_workspace.setdefault(item.workspace, [0, 0])
            counts[0] += item.requested
            counts[1] += item.admitted
            self.is_urgent = self.is_urgent or counts[0] >= URGENT_REQUESTS

    def add_refusals(self, service: str, refused: int) -> None:
        """Add attempts that targets of a service refused."""
        self.refused_by_service.setdefault(service, [0])[0] += refused

    def add_rank_usage(self, usage: tuple[RankUsage, ...]) -> None:
        """Add the less urgent part of usage, which is sent with the usage itself."""
        for item in usage:
            counts = self.rank_usage_by_workspace.setdefault(item.workspace, [0, 0])
            counts[0] += item.second
            counts[1] += item.third

    def add_digest(self, digest: Digest) -> None:
        """Add the counts of a received digest."""
        for outcome in digest.outcomes:
            self.add_outcome(*outcome, is_remote=bool(digest.center))
        for report in digest.loads:
            self.load_by_target[report.target] = report.request_count
        self.add_usage(digest.usage)
        for refusal in digest.refusals:
            self.add_refusals(*refusal)
        self.add_rank_usage(digest.rank_usage)

    def add_counts(self, other: "DigestCounts") -> None:
        """Add the counts of another collection."""
        for target, counts in other.outcomes_by_target.items():
            self.add_outcome(target, *counts)
        for target, counts in other.remote_outcomes_by_target.items():
            self.add_outcome(target, *counts, is_remote=True)
        self.load_by_target.update(other.load_by_target)
        for name, counts in other.usage_by_workspace.items():
            self.add_usage((Usage(name, *counts),))
        for service, counts in other.refused_by_service.items():
            self.add_refusals(service, *counts)
        for name, counts in other.rank_usage_by_workspace.items():
            self.add_rank_usage((RankUsage(name, *counts),))

    def without(self, other: "DigestCounts") -> "DigestCounts":
        """Return these counts with those of another collection subtracted.

        Loads stay, since they are not added up, and so do outcomes at other data
        centres, which no VM of this one reports.
        """
        difference = DigestCounts()
        difference.remote_outcomes_by_target = self.remote_outcomes_by_target
        difference.load_by_target = self.load_by_target
        difference.outcomes_by_target = subtract_counts(
            self.outcomes_by_target, other.outcomes_by_target
        )
        difference.usage_by_workspace = subtract_counts(
            self.usage_by_workspace, other.usage_by_workspace
        )
        difference.refused_by_service = subtract_counts(
            self.refused_by_service, other.refused_by_service
        )
        difference.rank_usage_by_workspace = subtract_counts(
            self.rank_usage_by_workspace, other.rank_usage_by_workspace
        )
        return difference

    def build_digests(
        self,
        center: str = "",
        live: tuple[str, ...] = (),
        reachable_count: int = 1,
        relayed: bool = False,
        center_reports: tuple[CenterReport, ...] = (),
        unreachable_count: int = 0,
    ) -> list[Digest]:
        """Return the counts in one or more digests that each fit a datagram.

        The parameters are the fields of `Digest`.
        """
        outcomes = [
            OutcomeCount(target, *counts)
            for target, counts in self.outcomes_by_target.items()
        ]
        remote_outcomes = [
            OutcomeCount(target, *counts)
            for target, counts in self.remote_outcomes_by_target.items()
        ]
        loads = [LoadReport(*item) for item in self.load_by_target.items()]
        usage = [
            Usage(name, *counts) for name, counts in self.usage_by_workspace.items()
        ]
        refusals = [
            RefusalCount(service, *counts)
            for service, counts in self.refused_by_service.items()
        ]
        rank_usage = [
            RankUsage(name, *counts)
            for name, counts in self.rank_usage_by_workspace.items()
        ]
        digests = []
        while True:
            # In large data centres, VM names and reports alone fill a datagram.
            names, live = live[:MAX_LIVE_VMS], live[MAX_LIVE_VMS:]
            item_count = (
                MAX_ITEMS if len(names) + len(center_reports) <= MAX_ITEMS else 0
            )
            digests.append(
                Digest(
                    center,
                    names,
                    reachable_count,
                    tuple(outcomes[:item_count]),
                    tuple(loads[:item_count]),
                    tuple(usage[:item_count]),
                    relayed,
                    center_reports,
                    unreachable_count,
                    tuple(remote_outcomes[:item_count]),
                    refusals=tuple(refusals[:item_count]),
                    rank_usage=tuple(rank_usage[:item_count]),
                )
            )
            center_reports = ()
            outcomes, loads, usage, remote_outcomes, refusals, rank_usage = (
                outcomes[item_count:],
                loads[item_count:],
                usage[item_count:],
                remote_outcomes[item_count:],
                refusals[item_count:],
                rank_usage[item_count:],
            )
            if not (
                outcomes
                or loads
                or usage
                or remote_outcomes
                or refusals
                or rank_usage
                or live
            ):
                return digests


def subtract_counts(
    total: dict[str, list[int]], part: dict[str, list[int]]
) -> dict[str, list[int]]:
    """Return the counts of `total` without those of `part`; zeros are left out."""
    difference = {}
    for name, counts in total.items():
        subtracted = part.get(name, [0] * len(counts))
        counts = [
            count - known for count, known in zip(counts, subtracted, strict=True)
        ]
        if any(counts):
            difference[name] = counts
    return difference


class DigestChannel:
    """Counts that wait to be sent to one group of receivers, and their schedule.

    Attributes
    ----------
    interval_s
        Time in seconds between digests that are not urgent.
    pending
        Counts that the next digest will hold.
    sent_at
        Monotonic time in seconds at which the last digest was sent.
    """

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self.pending = DigestCounts()
        self.sent_at = 0.0

    def is_due(self, now: float) -> bool:
        """Return whether a digest should be sent now."""
        if self.pending.is_urgent:
            return now - self.sent_at >= MIN_GAP_S
        interval_s = (
            self.interval_s if self.pending.has_content() else HEARTBEAT_INTERVAL_S
        )
        # The sending task wakes up only once in an interval and not exactly at its end.
        return now - self.sent_at >= interval_s - MIN_GAP_S

    def drain(self, now: float) -> DigestCounts:
        """Return the pending counts, which are then empty, for sending at `now`."""
        drained, self.pending = self.pending, DigestCounts()
        self.sent_at = now
        return drained
