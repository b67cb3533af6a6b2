"""Bounded, symmetric choice of the peers that exchange heartbeats.

Each VM has two neighbours on each of several rings ordered by a hash of the VM name.
The union of random rings is an expander, so information crosses the fleet in a number
of hops that grows with the logarithm of its size. Both ends of an edge choose each
other without coordination. Most rings are within a region, because traffic between
regions is metered.
"""

from bisect import bisect_left, insort
from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

from primroseturn.configuration.models import EntryVm

REGION_RINGS = 3
FLEET_RINGS = 2
PEER_LIMIT = 12

Ring = list[tuple[int, str]]


@lru_cache(maxsize=65_536)
def hash_name(*parts: str) -> int:
    """Return a 64-bit hash that is the same in every process."""
    digest = blake2b("\0".join(parts).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank_names(salt: str, names: Iterable[str]) -> list[str]:
    """Return names in rendezvous order, which is the same in every process."""
    return sorted(names, key=lambda name: hash_name(salt, name), reverse=True)


class Rings:
    """The rings over all listed entry VMs, updated incrementally."""

    def __init__(self) -> None:
        self.regions_by_vm: dict[str, str] = {}
        self.rings_by_salt: dict[str, Ring] = {}

    def update(self, regions_by_vm: dict[str, str]) -> None:
        """Add and remove VMs so that the rings contain exactly the given ones."""
        before, after = self.regions_by_vm.items(), regions_by_vm.items()
        for vm, region in before - after:
            for salt in self.salts(region):
                ring = self.rings_by_salt[salt]
                del ring[bisect_left(ring, (hash_name(salt, vm), vm))]
        for vm, region in after - before:
            for salt in self.salts(region):
                ring = self.rings_by_salt.setdefault(salt, [])
                insort(ring, (hash_name(salt, vm), vm))
        self.regions_by_vm = dict(regions_by_vm)

    def salts(self, region: str) -> list[str]:
        """Return the salts of the rings that a VM of a region is on."""
        inner = [f"region/{region}/{number}" for number in range(REGION_RINGS)]
        return inner + [f"fleet/{number}" for number in range(FLEET_RINGS)]

    def neighbours(self, vm: str) -> list[str]:
        """Return the neighbours of a VM, without repetition, in a stable order."""
        region = self.regions_by_vm.get(vm)
        if region is None:
            return []
        found: dict[str, None] = {}
        for salt in self.salts(region):
            ring = self.rings_by_salt[salt]
            index = bisect_left(ring, (hash_name(salt, vm), vm))
            for step in (-1, 1):
                found[ring[(index + step) % len(ring)][1]] = None
        found.pop(vm, None)
        return list(found)[:PEER_LIMIT]


def map_regions(vms: Iterable[EntryVm]) -> dict[str, str]:
    """Return the regions by VM name."""
    return {item.vm: item.region for item in vms}
