"""Exchanges heartbeats with a bounded set of peers; computes their earliest send times.

A heartbeat echoes the newest number received from its receiver and the time since then.
The receiver knows when it sent that number, so it knows a time after which the
heartbeat was sent. Ages in a heartbeat are counted from that time. They are therefore
never too low, even when either process was paused or the message waited in a queue.
Used by `primroseturn daemon`.
"""

from collections.abc import Awaitable, Callable
from math import ceil
from random import Random

from anyio import current_time, sleep

from primroseturn.configuration.replica import Replica
from primroseturn.control.bus import Bus, Sender
from primroseturn.membership.events import LINK_ONE_WAY, LINK_RESTORED
from primroseturn.membership.freshness import Freshness, Stamp
from primroseturn.membership.listing import ENTRY_LIST
from primroseturn.membership.members import Link, Members
from primroseturn.membership.messages import Heartbeat, NO_STAMP
from primroseturn.membership.metrics import (
    LIVE_DAEMONS,
    ONE_WAY_LINKS,
    STAMP_AGE_SECONDS,
)
from primroseturn.observation.events import EventLog

# Number of rounds of heartbeats whose send times are kept. From an echo of an older
# round no send time can be computed.
ROUNDS_KEPT = 64
# Fraction by which the interval varies, so that daemons do not send at the same time.
INTERVAL_JITTER = 0.1

CatchUp = Callable[[str, Heartbeat], Awaitable[bool]]


class Heartbeats:
    """Sends heartbeats and applies the received ones.

    Attributes
    ----------
    catch_up_by_name
        Functions that are called before the ages of a heartbeat are applied, by the
        name of what they fetch: withdrawals, configuration changes or lists. Each
        returns whether the ages may be applied. They may be only if this VM has all
        withdrawals and changes of the sender, because it could otherwise count VMs as
        up to date whose withdrawals it lacks. Lists are fetched in the background and
        never prevent it.
    one_way
        Peers that this VM receives from and that do not receive from it.
    """

    def __init__(
        self,
        bus: Bus,
        members: Members,
        replica: Replica,
        freshness: Freshness,
        events: EventLog,
        interval_s: float,
        random: Random | None = None,
    ) -> None:
        self.bus = bus
        self.members = members
        self.replica = replica
        self.freshness = freshness
        self.events = events
        self.interval_s = interval_s
        self.random = random or Random()
        # The first number is random, so that echoes to an earlier process of this VM
        # are not mistaken for echoes to this one.
        self.number = self.random.getrandbits(40) + 1
        self.sent_at_by_number: dict[int, float] = {}
        self.catch_up_by_name: dict[str, CatchUp] = {}
        self.one_way: set[str] = set()
        members.subscribe(self.set_addresses)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            now = current_time()
            self.members.drop_unlisted_peers(now)
            self.set_addresses()
            self.number += 1
            self.sent_at_by_number[self.number] = now
            self.sent_at_by_number.pop(self.number - ROUNDS_KEPT, None)
            ages = self.members.encode_ages(now)
            for peer in self.members.peers():
                await self.bus.send(peer, self.create_heartbeat(peer, now, ages))
            self.report_links()
            jitter = self.random.uniform(1 - INTERVAL_JITTER, 1 + INTERVAL_JITTER)
            await sleep(self.interval_s * jitter)

    def set_addresses(self) -> None:
        """Set the addresses of the known VMs on the bus."""
        for vm, address in self.members.addresses().items():
            self.bus.set_address(vm, address)

    def create_heartbeat(
        self, peer: str, now: float, ages: tuple[int, bytes]
    ) -> Heartbeat:
        """Return the heartbeat of this round for a peer.

        Parameters
        ----------
        ages
            Position of the first age in the order of names, and the ages.
        """
        link = self.members.links_by_vm.get(peer)
        echo_delay_s = now - link.received_at if link else 0.0
        stamp = self.freshness.newest
        age_ms = ceil((now - stamp.confirmed_at) * 1000) if stamp else NO_STAMP
        return Heartbeat(
            self.number,
            link.received_number if link else 0,
            int(echo_delay_s * 1000),
            self.replica.state.version,
            self.replica.withdrawals_hash,
            stamp.version if stamp else 0,
            age_ms,
            self.members.listing.versions_hash,
            self.entry_version(),
            *ages,
            None if self.members.is_listed() else self.members.this,
        )

    async def process_heartbeat(self, sender: Sender, heartbeat: Heartbeat) -> None:
        """Process a received heartbeat."""
        now = current_time()
        if heartbeat.own_entry is not None and heartbeat.own_entry.vm == sender.vm:
            self.members.add_unlisted_peer(heartbeat.own_entry)
        if not self.members.is_known(sender.vm):
            return
        link = self.members.links_by_vm.setdefault(sender.vm, Link())
        if link.incarnation != sender.incarnation:
            link.incarnation, link.received_number = sender.incarnation, 0
        if heartbeat.number <= link.received_number:
            return
        link.received_number, link.received_at = heartbeat.number, now
        sent_at = self.earliest_send_time(heartbeat, now)
        echoed_at = self.sent_at_by_number.get(heartbeat.echo_number)
        if echoed_at is not None:
            link.echoed_at = max(link.echoed_at, echoed_at)
        for catch_up in list(self.catch_up_by_name.values()):
            if not await catch_up(sender.vm, heartbeat):
                return
        if sent_at is not None:
            self.apply_heartbeat(sender.vm, heartbeat, sent_at)

    def earliest_send_time(self, heartbeat: Heartbeat, now: float) -> float | None:
        """Return a time after which a heartbeat was sent, None without a valid echo."""
        echoed_at = self.sent_at_by_number.get(heartbeat.echo_number)
        if echoed_at is None or heartbeat.echo_delay_ms < 0:
            return None
        sent_at = echoed_at + heartbeat.echo_delay_ms / 1000
        return sent_at if sent_at <= now else None

    def apply_heartbeat(self, vm: str, heartbeat: Heartbeat, sent_at: float) -> None:
        """Apply the ages and the freshness stamp of a heartbeat."""
        self.members.record_alive(vm, sent_at)
        if heartbeat.entry_version == self.entry_version():
            self.members.apply_ages(heartbeat.ages_start, heartbeat.ages, sent_at)
        if heartbeat.stamp_age_ms != NO_STAMP:
            confirmed_at = sent_at - max(heartbeat.stamp_age_ms, 0) / 1000
            self.freshness.record_stamp(
                Stamp(heartbeat.stamp_version, confirmed_at), self.replica.state.version
            )

    def entry_version(self) -> int:
        """Return the version of the list of entry VMs."""
        return self.members.listing.versions_by_list.get(ENTRY_LIST, 0)

    def report_links(self) -> None:
        """Emit events of links that became or are no longer one-way; set the gauges."""
        now = current_time()
        one_way = {
            vm
            for vm in self.members.links_by_vm
            if self.members.link_state(vm, now) == (True, False)
        }
        for vm in one_way - self.one_way:
            self.events.emit(LINK_ONE_WAY, peer=vm)
        for vm in self.one_way - one_way:
            self.events.emit(LINK_RESTORED, peer=vm)
        self.one_way = one_way
        ONE_WAY_LINKS.set(len(one_way))
        LIVE_DAEMONS.set(len(self.members.live_daemons(now)))
        stamp = self.freshness.applied
        STAMP_AGE_SECONDS.set(now - stamp.confirmed_at if stamp else float("inf"))
