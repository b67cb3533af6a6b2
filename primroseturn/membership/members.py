"""Which entry VMs are live, and which of them this VM exchanges heartbeats with.

Used by `primroseturn daemon`.
"""

from collections.abc import Callable, Iterable
from math import ceil
from random import Random
from typing import NamedTuple

from anyio import current_time
from msgspec import Struct

from primroseturn.configuration.models import EntryVm
from primroseturn.control.zeromq import PeerAddress
from primroseturn.membership.listing import ENTRY_LIST, Listing
from primroseturn.membership.messages import AGE_UNIT_S, AGE_UNKNOWN
from primroseturn.membership.rings import map_regions, PEER_LIMIT, rank_names, Rings

# Number of heartbeat intervals after which a VM is no longer live: 2 s by default.
MISSED_HEARTBEATS_LIMIT = 4
# Number of VMs above which heartbeats do not spread the ages of all VMs fast enough. A
# listed VM is then treated as live unless it is an unresponsive heartbeat peer.
AGE_TABLE_LIMIT = 256
AGES_PER_HEARTBEAT = 256
WATCHERS_PER_REGION = 2
DIGEST_PEER_LIMIT = 12
PEERS_PER_OTHER_REGION = 2


class Link(Struct, eq=False):
    """State of the two directions of the link between this VM and a peer.

    Attributes
    ----------
    incarnation
        Incarnation of the peer that sent its newest heartbeat.
    received_number, received_at
        Number of that heartbeat, and when it arrived (monotonic, in seconds).
    echoed_at
        When this VM sent the newest heartbeat that the peer is known to have received
        (monotonic, in seconds).
    """

    incarnation: str = ""
    received_number: int = 0
    received_at: float = float("-inf")
    echoed_at: float = float("-inf")


class LinkState(NamedTuple):
    """Whether this VM receives from a peer (inbound) and the other way (outbound)."""

    inbound: bool
    outbound: bool


class Members:
    """The members of the fleet in the view of this VM.

    All times are on this process's monotonic clock, in seconds.

    Attributes
    ----------
    this
        Record of this VM in the list of entry VMs.
    sorted_names
        Names of the listed entry VMs in the order in which heartbeats state ages.
    alive_at_by_vm
        Latest time at which each VM is known to have been alive and to have had no
        withdrawal and no configuration version that this VM lacks.
    unlisted_by_vm
        Records of heartbeat peers that the list does not contain yet.
    """

    def __init__(
        self,
        this: EntryVm,
        listing: Listing,
        heartbeat_interval_s: float,
        random: Random | None = None,
    ) -> None:
        self.liveness_timeout_s = MISSED_HEARTBEATS_LIMIT * heartbeat_interval_s
        self.this = this
        self.listing = listing
        self.random = random or Random()
        self.rings = Rings()
        self.sorted_names: list[str] = []
        self.links_by_vm: dict[str, Link] = {}
        self.alive_at_by_vm: dict[str, float] = {}
        self.listed_at_by_vm: dict[str, float] = {}
        self.unlisted_by_vm: dict[str, EntryVm] = {}
        self.callbacks: list[Callable[[], None]] = []
        listing.subscribe(self.apply_changed_list)
        self.apply_changed_list(ENTRY_LIST)

    def apply_changed_list(self, name: str) -> None:
        """Apply a changed list of entry VMs; changes of other lists are ignored."""
        if name != ENTRY_LIST:
            return
        listed = self.listing.daemons_by_vm
        now = current_time()
        self.rings.update(map_regions([*listed.values(), self.this]))
        self.sorted_names = sorted(listed)
        before = self.listed_at_by_vm
        self.listed_at_by_vm = {vm: before.get(vm, now) for vm in listed}
        for vm in [vm for vm in self.alive_at_by_vm if vm not in listed]:
            del self.alive_at_by_vm[vm]
        for vm in [vm for vm in self.unlisted_by_vm if vm in listed]:
            del self.unlisted_by_vm[vm]
        for callback in self.callbacks:
            callback()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` when the listed entry VMs change."""
        self.callbacks.append(callback)

    def addresses(self) -> dict[str, PeerAddress]:
        """Return the control addresses of all other known VMs, by VM name."""
        known = {**self.unlisted_by_vm, **self.listing.daemons_by_vm}
        known.pop(self.this.vm, None)
        return {
            vm: PeerAddress(item.host, item.control_port, item.public_key)
            for vm, item in known.items()
        }

    def is_listed(self) -> bool:
        """Return whether the platform lists this VM."""
        return self.this.vm in self.listing.daemons_by_vm

    def peers(self) -> list[str]:
        """Return the VMs to send heartbeats to: ring neighbours, then unlisted peers.

        They are at most `PEER_LIMIT`.
        """
        chosen = self.rings.neighbours(self.this.vm)
        unlisted = [vm for vm in self.unlisted_by_vm if vm not in chosen]
        return (chosen + unlisted)[:PEER_LIMIT]

    def add_unlisted_peer(self, entry: EntryVm) -> None:
        """Exchange heartbeats with a VM that the list does not contain yet.

        There are at most `PEER_LIMIT` peers; a VM beyond that is ignored.
        """
        limit = PEER_LIMIT - len(self.rings.neighbours(self.this.vm))
        if entry.vm == self.this.vm or entry.vm in self.listing.daemons_by_vm:
            return
        if entry.vm in self.unlisted_by_vm or len(self.unlisted_by_vm) < limit:
            self.unlisted_by_vm[entry.vm] = entry

    def is_known(self, vm: str) -> bool:
        """Return whether heartbeats of a VM are accepted.

        Before the first list of entry VMs those of all VMs are.
        """
        listed = self.listing.daemons_by_vm
        return not listed or vm in listed or vm in self.unlisted_by_vm

    def drop_unlisted_peers(self, now: float) -> None:
        """Drop unlisted peers that are unresponsive, and links to unknown VMs."""
        for vm in list(self.unlisted_by_vm):
            link = self.links_by_vm.get(vm)
            if link is None or now - link.received_at > self.liveness_timeout_s:
                del self.unlisted_by_vm[vm]
        for vm in [vm for vm in self.links_by_vm if not self.is_known(vm)]:
            del self.links_by_vm[vm]

    def record_alive(self, vm: str, at: float) -> None:
        """Record a time at which a VM was alive and not ahead (see `alive_at_by_vm`).

        VMs that are neither listed nor unlisted peers are ignored.
        """
        if vm not in self.listed_at_by_vm and vm not in self.unlisted_by_vm:
            return
        if at > self.alive_at_by_vm.get(vm, float("-inf")):
            self.alive_at_by_vm[vm] = at

    def encode_ages(self, now: float) -> tuple[int, bytes]:
        """Return a position in `sorted_names` and the ages of the VMs from there on."""
        start = 0
        if len(self.sorted_names) > AGES_PER_HEARTBEAT:
            start = self.random.randrange(len(self.sorted_names))
        ages = bytearray()
        for vm in self.sorted_names[start : start + AGES_PER_HEARTBEAT]:
            age_s = now - self.alive_at_by_vm.get(vm, float("-inf"))
            if vm == self.this.vm:
                age_s = 0.0
            units = min(age_s / AGE_UNIT_S, AGE_UNKNOWN)
            ages.append(min(ceil(units), AGE_UNKNOWN))
        return start, bytes(ages)

    def apply_ages(self, start: int, ages: bytes, at: float) -> None:
        """Record when VMs were alive, from ages as of the time `at`."""
        for vm, age in zip(self.sorted_names[max(start, 0) :], ages, strict=False):
            if age != AGE_UNKNOWN:
                self.record_alive(vm, at - age * AGE_UNIT_S)

    def is_alive(self, vm: str, now: float) -> bool:
        """Return whether a VM is treated as live."""
        if vm == self.this.vm:
            return True
        alive_at = self.alive_at_by_vm.get(vm, float("-inf"))
        alive_at = max(alive_at, self.listed_at_by_vm.get(vm, float("-inf")))
        if len(self.listed_at_by_vm) > AGE_TABLE_LIMIT and vm not in self.links_by_vm:
            return True
        return now - alive_at <= self.liveness_timeout_s

    def live_daemons(self, now: float | None = None) -> dict[str, EntryVm]:
        """Return the live entry VMs by name, this one included."""
        now = current_time() if now is None else now
        live = {
            vm: item
            for vm, item in self.listing.daemons_by_vm.items()
            if item.state == "live" and self.is_alive(vm, now)
        }
        live.setdefault(self.this.vm, self.this)
        return live

    def link_state(self, vm: str, now: float) -> LinkState:
        """Return which directions of the link to a peer work."""
        link = self.links_by_vm.get(vm)
        if link is None:
            return LinkState(False, False)
        inbound = now - link.received_at <= self.liveness_timeout_s
        return LinkState(inbound, now - link.echoed_at <= self.liveness_timeout_s)

    def peers_of_data_center(self) -> list[str]:
        """Return the live VMs of this data centre to send evidence digests to.

        They are at most `DIGEST_PEER_LIMIT`.
        """
        here = self.this.data_center
        names = [
            vm for vm, item in self.live_daemons().items() if item.data_center == here
        ]
        return self.choose_successors(names, DIGEST_PEER_LIMIT)

    def peers_of_other_regions(self) -> list[str]:
        """Return a few live VMs of each other region."""
        names_by_region: dict[str, list[str]] = {}
        for vm, item in self.live_daemons().items():
            names_by_region.setdefault(item.region, []).append(vm)
        names_by_region.pop(self.this.region, None)
        chosen: list[str] = []
        for region in sorted(names_by_region):
            ranked = rank_names(f"digest/{self.this.vm}", names_by_region[region])
            chosen += ranked[:PEERS_PER_OTHER_REGION]
        return chosen

    def choose_successors(self, names: Iterable[str], limit: int) -> list[str]:
        """Return the next VMs after this one in an order that all VMs share."""
        ranked = rank_names("near", names)
        index = ranked.index(self.this.vm)
        return (ranked[index + 1 :] + ranked[:index])[:limit]

    def watchers(self, region: str | None = None) -> list[str]:
        """Return the VMs of a region that watch the store, in rendezvous order."""
        region = region or self.this.region
        live = self.live_daemons()
        names = [vm for vm, item in live.items() if item.region == region]
        return rank_names(f"watch/{region}", names)[:WATCHERS_PER_REGION]

    def watcher_rank(self) -> int | None:
        """Return this VM's position among the watchers of all regions, from 0.

        The order is a rendezvous order, in which position 0 acts first (it writes
        snapshots and withdrawals). None if this VM is no watcher.
        """
        if not self.is_watcher():
            return None
        regions = {item.region for item in self.live_daemons().values()}
        watchers = [vm for region in regions for vm in self.watchers(region)]
        return rank_names("writer", watchers).index(self.this.vm)

    def is_watcher(self) -> bool:
        """Return whether this VM watches the store for its region."""
        return self.this.vm in self.watchers()

    def alive_fraction(self, now: float, limit_s: float, region: str | None) -> float:
        """Return the fraction of the listed VMs that were alive within `limit_s`.

        This VM counts as alive if it is listed.

        Parameters
        ----------
        limit_s
            Age in seconds up to which a VM is counted.
        region
            Region whose VMs are counted; None for all.
        """
        listed = [
            vm
            for vm, item in self.listing.daemons_by_vm.items()
            if region in (None, item.region)
        ]
        if not listed:
            return 0.0
        oldest = now - limit_s
        alive = sum(
            vm == self.this.vm or self.alive_at_by_vm.get(vm, oldest - 1) >= oldest
            for vm in listed
        )
        return alive / len(listed)
