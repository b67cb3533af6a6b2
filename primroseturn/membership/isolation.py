"""Decides whether this VM may rely on its set of withdrawn keys."""

from expression import Error, Ok, Result

from primroseturn.failures import Failure
from primroseturn.membership import metrics
from primroseturn.membership.events import ISOLATED, REJOINED
from primroseturn.membership.freshness import Freshness
from primroseturn.membership.members import Members
from primroseturn.observation.events import EventLog
from primroseturn.settings.models import KeySettings

MAJORITY = 0.5
# Seconds for which a decision on the majority is reused. Counting VMs takes time in
# proportion to the size of the fleet.
RECOUNT_INTERVAL_S = 0.05


class Isolated(Failure):
    """Neither the store nor most of the fleet is reachable from this VM."""

    code = "isolated"

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Isolation:
    """Decides whether keyed requests may be served."""

    def __init__(
        self,
        members: Members,
        freshness: Freshness,
        settings: KeySettings,
        events: EventLog,
    ) -> None:
        self.members = members
        self.freshness = freshness
        self.limit_s = settings.isolation_limit_s
        self.policy = settings.isolation_policy
        self.events = events
        self.counted_at = float("-inf")
        self.is_majority_seen = False
        self.isolated = False

    def check(self, now: float) -> Result[None, Failure]:
        """Return Ok if keyed requests may be served at `now` (monotonic seconds)."""
        if self.freshness.is_fresh(now, self.limit_s) or self.has_majority(now):
            failure = None
        elif self.freshness.has_recent_stamp(now, self.limit_s):
            failure = Isolated("the configuration in force is behind the fleet's")
        else:
            failure = Isolated("neither the store nor most of the fleet is reachable")
        self.report(failure)
        return Ok(None) if failure is None else Error(failure)

    def has_majority(self, now: float) -> bool:
        """Return whether the rule of the majority lets this VM serve."""
        if now - self.counted_at > RECOUNT_INTERVAL_S:
            self.counted_at, self.is_majority_seen = now, self.count_majority(now)
        return self.is_majority_seen

    def count_majority(self, now: float) -> bool:
        """Return whether most VMs were alive within the limit.

        A recent stamp that is not applied shows that this VM is behind the fleet. Only
        the policy "region" then lets it serve, by the majority of its region.
        """
        if self.policy == "region":
            region = self.members.this.region
            if self.members.seen_share(now, self.limit_s, region) > MAJORITY:
                return True
        if self.freshness.has_recent_stamp(now, self.limit_s):
            return False
        return self.members.seen_share(now, self.limit_s, None) > MAJORITY

    def report(self, failure: Failure | None) -> None:
        """Emit an event when the decision changes."""
        if (failure is not None) == self.isolated:
            return
        self.isolated = failure is not None
        metrics.ISOLATED.set(self.isolated)
        if failure is None:
            self.events.emit(REJOINED)
        else:
            self.events.emit(ISOLATED, reason=str(failure))
