"""Chooses the owners of a workspace, or of another key, by rendezvous hashing."""

from collections.abc import Mapping
from hashlib import blake2b

from primroseturn.configuration.models import EntryVm

MIN_BURST_PER_OWNER = 4


def rendezvous_weight(vm: str, key: str) -> bytes:
    """Return the rendezvous weight of a VM for a key."""
    return blake2b(f"{vm}\0{key}".encode(), digest_size=8).digest()


def choose_owners(
    key: str, daemons: Mapping[str, EntryVm], count: int
) -> tuple[str, ...]:
    """Return up to `count` of the live VMs for a key, spread over the data centres."""
    ranked = sorted(daemons, key=lambda vm: (rendezvous_weight(vm, key), vm))
    chosen: list[str] = []
    while len(chosen) < min(count, len(ranked)):
        centers: set[str] = set()
        for vm in ranked:
            if vm not in chosen and daemons[vm].data_center not in centers:
                centers.add(daemons[vm].data_center)
                chosen.append(vm)
    return tuple(chosen[:count])


def count_owners(burst: float, max_owners: int) -> int:
    """Return how many owners a workspace has.

    A part of the burst below a few tokens cannot serve a burst of requests, so small
    workspaces have fewer owners.
    """
    return max(1, min(max_owners, int(burst // MIN_BURST_PER_OWNER)))


def order_by_distance(
    vms: list[str], own_entry: EntryVm | None, daemons: Mapping[str, EntryVm]
) -> list[str]:
    """Return VMs in the order of distance: own data centre, own region, others."""

    def distance(vm: str) -> int:
        entry = daemons.get(vm)
        if entry is None or own_entry is None:
            return 3
        if entry.data_center == own_entry.data_center:
            return 0
        return 1 if entry.region == own_entry.region else 2

    return sorted(vms, key=distance)
