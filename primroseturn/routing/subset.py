"""Subsets of targets by rendezvous hashing, in tiers by distance.

Source: Thaler and Ravishankar, "A name-based mapping scheme for rendezvous", 1996.
"""

from collections.abc import Collection, Iterable
from hashlib import blake2b
from typing import NamedTuple

from primroseturn.configuration.models import Target

# Targets per service that one VM uses, so that its connections do not grow with the
# fleet, and how many of them may be in its own data centre.
SUBSET_TARGETS = 12
LOCAL_TARGETS = 8


class Locality(NamedTuple):
    """Name, data centre and region of this VM."""

    vm: str
    data_center: str
    region: str


class Tiers(NamedTuple):
    """Targets by distance: own data centre, own region, over the metered link."""

    local: tuple[Target, ...]
    region: tuple[Target, ...]
    metered: tuple[Target, ...]


def rendezvous_weight(vm: str, target: str) -> int:
    """Return the weight of a target for a VM."""
    digest = blake2b(f"{vm}\0{target}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def choose_subset(
    locality: Locality, targets: Iterable[Target], assigned: Collection[str] = ()
) -> Tiers:
    """Return the targets that a VM uses.

    Targets in `assigned`, where the VM has slots of its own, are always among them.
    """
    ranked = sorted(
        targets,
        key=lambda item: rendezvous_weight(locality.vm, item.name),
        reverse=True,
    )
    local = [item for item in ranked if item.data_center == locality.data_center]
    region = [
        item
        for item in ranked
        if item.region == locality.region and item.data_center != locality.data_center
    ]
    metered = [item for item in ranked if item.region != locality.region]
    local.sort(key=lambda item: item.name not in assigned)
    local = local[: max(LOCAL_TARGETS, len(assigned))]
    region = region[: max(0, SUBSET_TARGETS - len(local))]
    # At least 2 targets over the metered link stay in the subset as a last resort.
    metered_count = max(2, SUBSET_TARGETS - len(local) - len(region))
    return Tiers(tuple(local), tuple(region), tuple(metered[:metered_count]))
