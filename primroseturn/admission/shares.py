"""Fair shares of ranks and workspaces in the admitted requests of a service."""

from collections.abc import Collection
from statistics import median

from primroseturn.admission.counts import DecayingCount

# Time constant of the counts by which the overall admitted share is known.
ADMITTED_TIME_CONSTANT_S = 5.0
# Admitted requests that are assumed in addition while few are known.
ASSUMED_ADMITTED = 5.0
# Time constant of the counts of workspaces. A VM gets 0.03 to 0.1 requests per second
# of one workspace.
WORKSPACE_TIME_CONSTANT_S = 10.0
# Requests within the time constant up to which a workspace is not treated as one that
# sends more than others, whatever the others send, and the multiple of the typical
# workspace's requests for the same.
FREE_REQUESTS = 3.0
FREE_FACTOR = 2.0
# Count below which a workspace is forgotten, and the number of counts from which they
# are checked for it.
FORGOTTEN_COUNT = 0.05
MAX_COUNTS = 512


class AdmittedShare:
    """Share of a service's requests that this VM admits."""

    def __init__(self) -> None:
        self.requests = DecayingCount(ADMITTED_TIME_CONSTANT_S)
        self.admitted = DecayingCount(ADMITTED_TIME_CONSTANT_S)

    def at(self, now: float) -> float:
        """Return the share, 1 while few requests are known."""
        requests = self.requests.at(now) + ASSUMED_ADMITTED
        return min(1.0, (self.admitted.at(now) + ASSUMED_ADMITTED) / requests)


class WorkspaceCounts:
    """Requests of each workspace for one service and rank at this VM."""

    def __init__(self) -> None:
        self.counts_by_workspace: dict[str, DecayingCount] = {}

    def add(self, workspace: str, now: float) -> None:
        """Count a request."""
        count = self.counts_by_workspace.get(workspace)
        if count is None:
            if len(self.counts_by_workspace) >= MAX_COUNTS:
                self.forget_old(now)
            count = DecayingCount(WORKSPACE_TIME_CONSTANT_S)
            self.counts_by_workspace[workspace] = count
        count.add(1.0, now)

    def forget_old(self, now: float) -> None:
        """Forget the workspaces without recent requests."""
        self.counts_by_workspace = {
            name: count
            for name, count in self.counts_by_workspace.items()
            if count.at(now) >= FORGOTTEN_COUNT
        }

    def admitted_share(self, workspace: str, share: float, now: float) -> float:
        """Return the admitted share of a workspace if `share` of all are admitted."""
        own = self.counts_by_workspace.get(workspace)
        if own is None or share >= 1.0:
            return share
        counts = [count.at(now) for count in self.counts_by_workspace.values()]
        return fair_share(own.at(now), counts, share)


def fair_share(own: float, counts: Collection[float], share: float) -> float:
    """Return the admitted share of a workspace with `own` requests.

    Requests of workspaces that send clearly more than others are withheld first; if
    that is not enough, the others lose equal shares.

    Parameters
    ----------
    counts
        Requests of all workspaces, with this one.
    share
        Share of all requests that is to be admitted.
    """
    present = [count for count in counts if count >= FORGOTTEN_COUNT]
    if not present or own <= 0.0:
        return share
    allowed = share * sum(present)
    level = max(FREE_REQUESTS, FREE_FACTOR * median(present))
    within = sum(min(count, level) for count in present)
    if within >= allowed:
        return min(1.0, level / own) * allowed / within
    # The workspaces above the level have room for `allowed - within` requests more,
    # which are shared out equally.
    room = allowed - within
    heavy = sorted(count - level for count in present if count > level)
    for index, above in enumerate(heavy):
        each = room / (len(heavy) - index)
        if above > each:
            return min(1.0, (level + each) / own)
        room -= above
    return 1.0
