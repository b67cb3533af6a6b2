"""Slots of targets: assigned to VMs, and borrowed with feedback.

Each slot of a target belongs to one VM of its data centre, so that the fleet uses
at most a target's slots. A VM whose own slots are all busy borrows a slot of another
target. It does not know whether that slot is free, so late or shed answers halve the
number of slots that it borrows.

Sources: rendezvous hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam,
2018); additive increase, multiplicative decrease (Chiu and Jain, 1989).
"""

from collections.abc import Collection
from math import ceil

from primroseturn.routing.subset import rendezvous_weight

DECREASE_FACTOR = 0.5
DECREASE_GAP_S = 0.1
MIN_BORROWED = 1.0


def assign_slots(
    vm: str, vms: Collection[str], targets: Collection[str], slots: int
) -> dict[str, int]:
    """Return how many slots of each target belong to a VM.

    Every VM computes the same assignment. It moves few slots when VMs or targets
    come and go, and no VM gets more than its rounded-up fair part.
    """
    if not targets:
        return {}
    most = ceil(slots * len(targets) / len(vms))
    left_by_vm = dict.fromkeys(vms, most)
    assigned: dict[str, int] = {}
    ranks = {
        name: sorted(vms, key=lambda item: rendezvous_weight(item, name), reverse=True)
        for name in sorted(targets)
    }
    for number in range(slots):
        for name, ranked in ranks.items():
            # Each target goes round its own order of VMs.
            turn = ranked[number % len(ranked) :] + ranked[: number % len(ranked)]
            owner = next(item for item in turn if left_by_vm[item] > 0)
            left_by_vm[owner] -= 1
            if owner == vm:
                assigned[name] = assigned.get(name, 0) + 1
    return assigned


class BorrowLimit:
    """How many slots beyond its own this VM may use at a service."""

    def __init__(self, maximum: float) -> None:
        self.maximum = maximum
        self.limit = max(MIN_BORROWED, maximum / 2)
        self.decreased_at = float("-inf")

    def increase(self) -> None:
        """Borrow more after a good answer."""
        self.limit = min(self.maximum, self.limit + 1.0 / self.limit)

    def decrease(self, now: float) -> None:
        """Borrow half as much, once per burst."""
        if now - self.decreased_at >= DECREASE_GAP_S:
            self.limit = max(MIN_BORROWED, self.limit * DECREASE_FACTOR)
            self.decreased_at = now
