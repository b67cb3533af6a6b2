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
# Seconds for which a decision by majority is reused, because counting VMs takes time in
# proportion to the size of the fleet.
RECOUNT_INTERVAL_S = 0.05


class Isolated(Failure):
    """This VM cannot prove that its set of withdrawn keys is up to date.

    Neither the store nor most of the fleet is reachable, or a newer version of the
    configuration is known that is not in force here yet.
    """

    code = "isolated"

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Isolation:
    """Decides whether requests with a caller key may be served."""

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
        self.decided_at = float("-inf")
        self.majority_decision = False
        self.isolated = False

    def check(self, now: float) -> Result[None, Failure]:
        """Return Ok if requests with a caller key may be served at `now`.

        Parameters
        ----------
        now
            Monotonic time in seconds.
        """
        if self.freshness.is_fresh(now, self.limit_s) or self.is_majority_enough(now):
            failure = None
        elif self.freshness.has_recent_stamp(now, self.limit_s):
            failure = Isolated("the configuration in force is behind the fleet's")
        else:
            failure = Isolated("neither the store nor most of the fleet is heard")
        self.report(failure)
        return Ok(None) if failure is None else Error(failure)

    def is_majority_enough(self, now: float) -> bool:
        """Return `decide_by_majority`, cached for `RECOUNT_INTERVAL_S`."""
        if now - self.decided_at > RECOUNT_INTERVAL_S:
            self.decided_at, self.majority_decision = now, self.decide_by_majority(now)
        return self.majority_decision

    def decide_by_majority(self, now: float) -> bool:
        """Return whether this VM may serve because most listed VMs were alive lately.

        More than half of the fleet must have been alive within the limit. A recent
        stamp that is not applied shows that this VM is behind the fleet, and then a
        majority of the fleet is not enough. With the policy "region" a majority of this
        VM's region is always enough.
        """
        if self.policy == "region":
            region = self.members.this.region
            if self.members.alive_fraction(now, self.limit_s, region) > MAJORITY:
                return True
        if self.freshness.has_recent_stamp(now, self.limit_s):
            return False
        return self.members.alive_fraction(now, self.limit_s, None) > MAJORITY

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
