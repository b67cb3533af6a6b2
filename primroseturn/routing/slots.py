"""Assignment of the slots of targets to VMs, and limit on borrowed slots.

Each slot of a target is assigned to one VM of its data centre, so that all VMs together
use at most the slots that the target has. A VM whose own slots are all busy borrows one
slot more at a target. It does not know whether that slot is free, so a late or shed
response halves the number of slots that it may borrow.

Sources: rendezvous hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam,
2018); additive increase, multiplicative decrease (Chiu and Jain, 1989).
"""

from collections.abc import Collection
from math import ceil

from primroseturn.routing.subset import rendezvous_weight

DECREASE_FACTOR = 0.5
# Least time between two decreases of a limit, so that several late responses at once
# decrease it only once.
DECREASE_GAP_S = 0.1
MIN_BORROWED = 1.0


def assign_slots(
    vm: str, vms: Collection[str], targets: Collection[str], slots: int
) -> dict[str, int]:
    """Return how many slots of each target are assigned to a VM.

    Every VM computes the same assignment. Few slots move when VMs or targets come and
    go, and no VM gets more than an equal part, rounded up.
    """
    if not targets:
        return {}
    max_assigned = ceil(slots * len(targets) / len(vms))
    left_by_vm = dict.fromkeys(vms, max_assigned)
    assigned: dict[str, int] = {}
    ranks = {
        name: sorted(vms, key=lambda item: rendezvous_weight(item, name), reverse=True)
        for name in sorted(targets)
    }
    for number in range(slots):
        for name, ranked in ranks.items():
            # Each target cycles through its own ranking of VMs.
            candidates = ranked[number % len(ranked) :] + ranked[: number % len(ranked)]
            owner = next(item for item in candidates if left_by_vm[item] > 0)
            left_by_vm[owner] -= 1
            if owner == vm:
                assigned[name] = assigned.get(name, 0) + 1
    return assigned


class BorrowLimit:
    """Limit on the slots of a service that this VM may use beyond its own."""

    def __init__(self, maximum: float) -> None:
        self.maximum = maximum
        self.limit = max(MIN_BORROWED, maximum / 2)
        self.decreased_at = float("-inf")

    def increase(self) -> None:
        """Raise the limit after a response in time."""
        self.limit = min(self.maximum, self.limit + 1.0 / self.limit)

    def decrease(self, now: float) -> None:
        """Halve the limit after a late or shed response, once per `DECREASE_GAP_S`."""
        if now - self.decreased_at >= DECREASE_GAP_S:
            self.limit = max(MIN_BORROWED, self.limit * DECREASE_FACTOR)
            self.decreased_at = now
