"""Shares the view of the store within a data centre.

One VM of each data centre, the store poller, polls the store, and the other VMs poll
that VM. Its reply states the age of its configuration, counted from its request to the
store. The receiver adds the time since its own request to the store poller, measured on
its own clock, so that no delay on the way makes a view look more recent than it is. A
VM to which the store no longer responds says so in its replies, and the next VM by name
becomes the store poller. So a store that rejects calls of some VMs is not polled by all
of them at once.
"""

from random import Random
from typing import Any

from anyio import current_time, Event, move_on_after, sleep
from msgspec import field

from primroseturn.clock import time_since_boot
from primroseturn.control.bus import Bus, Sender
from primroseturn.control.messages import Message, message
from primroseturn.entry.events import CONFIGURATION_APPLIED
from primroseturn.entry.following import START_PAUSE_S, StoreFollower
from primroseturn.entry.models import Target
from primroseturn.entry.view import VmView
from primroseturn.membership.fleet import Fleet
from primroseturn.observation.events import EventLog

# Seconds between two queries to the store poller.
QUERY_INTERVAL_S = 0.7
# Longest wait in seconds for the store poller's reply; it is a millisecond away.
QUERY_TIMEOUT_S = 0.25
# Longest wait in seconds for a configuration or a list of targets, for which a
# connection may have to be opened.
CONTENT_TIMEOUT_S = 0.5
# Age in seconds up to which a confirmed view is recent enough to spare the receiver its
# own calls: the interval of the store poller's requests plus a slow response.
MAX_USEFUL_AGE_S = 1.3
# Age in seconds from which a VM's view is stale, so that it also queries random other
# VMs, and the seconds between its queries while it is.
STALE_AGE_S = 1.0
STALE_INTERVAL_S = 0.2
# Seconds after the last useful reply until a VM polls the store itself.
POLLING_PAUSE_S = 1.5
# VMs that are queried in turn, twice each, before a VM polls the store itself.
MAX_STORE_POLLERS_TRIED = 3
# Fraction of the queries to random VMs that go to VMs of all data centres, which may
# reach the store when no VM of this data centre does.
ALL_CENTERS_SHARE = 0.3
# Seconds between two checks of a starting VM whether it knows the other VMs.
FLEET_CHECK_INTERVAL_S = 0.05


@message("view-question")
class ViewRequest(Message, frozen=True, array_like=True):
    """Queries the versions that the receiver has."""


@message("view-voucher")
class ViewStatus(Message, frozen=True, array_like=True):
    """The versions that the sender has.

    Attributes
    ----------
    version
        Version of its configuration.
    age_s
        Time in seconds since that version was last known to be the newest one.
    revision
        Store revision of its list of targets.
    reaches_store
        Whether the store responds to the sender and, if the sender polls the store, its
        list of targets is up to date.
    lapsed_count
        Number of targets in its list that are only kept since their entries may have
        lapsed. Of two lists at the same revision, the one with fewer is the newer one.
    """

    version: int
    age_s: float
    revision: int
    reaches_store: bool
    lapsed_count: int = 0


@message("content-question")
class ContentRequest(Message, frozen=True, array_like=True):
    """Requests the configuration and targets that are newer than the stated ones."""

    version: int
    revision: int
    lapsed_count: int = 0


@message("content-answer")
class ContentReply(Message, frozen=True, array_like=True):
    """The configuration and targets that are newer than those of a request.

    Attributes
    ----------
    configuration
        The configuration as stored, or None if it is not newer.
    revision
        Store revision of the sender's list of targets.
    targets
        The targets listed at `revision`, or None if the list is not newer.
    lapsed_s_by_id
        Seconds for which targets of the list are kept although their entries are
        missing.
    """

    configuration: Any
    revision: int
    targets: tuple[Target, ...] | None
    lapsed_s_by_id: dict[str, float] = field(default_factory=dict)


class ViewSharing:
    """Replies to the queries of other VMs and queries the store poller.

    Parameters
    ----------
    datagrams
        Bus for queries and for replies with versions.
    bus
        Bus for configurations and lists of targets.

    Attributes
    ----------
    is_store_poller
        Whether this VM polls the store for its data centre.
    store_lost
        Set when the store stops responding to this VM.
    query_requested
        Set to query the store poller without waiting for the next interval.
    pushed_status
        The last status that another VM has sent unrequested, with the VM's name.
    status_pushed
        Set when `pushed_status` has arrived.
    """

    def __init__(
        self,
        datagrams: Bus,
        bus: Bus,
        fleet: Fleet,
        view: VmView,
        follower: StoreFollower,
        events: EventLog,
    ) -> None:
        self.datagrams = datagrams
        self.bus = bus
        self.fleet = fleet
        self.view = view
        self.follower = follower
        self.events = events
        self.is_store_poller = False
        self.random = Random()
        self.store_lost = Event()
        self.query_requested = Event()
        self.pushed_status: tuple[str, ViewStatus] | None = None
        self.status_pushed = Event()
        follower.contact.loss_listeners.append(lambda: self.store_lost.set())
        datagrams.register_handler(ViewRequest, self.reply_to_request)
        datagrams.register_handler(ViewStatus, self.receive_status)
        bus.register_handler(ContentRequest, self.reply_with_content)
        view.configuration_listeners.append(lambda _: self.follower.updated.set())
        view.target_listeners.append(lambda _: self.follower.updated.set())

    async def ask_forever(self) -> None:
        """Query the store poller at intervals, and random VMs while the view is stale.

        The first query waits until the other VMs are known, for a bounded time.
        """
        started_at = current_time()
        while not self.fleet.has_list and current_time() - started_at < START_PAUSE_S:
            await sleep(FLEET_CHECK_INTERVAL_S)
        while True:
            await self.query_store_poller()
            is_stale = self.view.age_s(time_since_boot()) >= STALE_AGE_S
            if is_stale:
                await self.query_random_vm()
            with move_on_after(STALE_INTERVAL_S if is_stale else QUERY_INTERVAL_S):
                await self.query_requested.wait()

    async def query_store_poller(self) -> None:
        """Query the VM that polls the store, or poll the store from this VM."""
        own = self.fleet.own.name
        for _ in range(MAX_STORE_POLLERS_TRIED):
            reaches_store = self.reaches_store()
            store_poller = self.fleet.store_poller(current_time(), reaches_store)
            self.is_store_poller = store_poller == own
            if self.is_store_poller:
                break
            status = await self.query(store_poller) or await self.query(store_poller)
            peer_reaches_store = status is not None and status.reaches_store
            self.fleet.record_store_reachability(
                store_poller, peer_reaches_store, current_time()
            )
            if peer_reaches_store:
                return
        self.follower.polling_pause.end()

    def reaches_store(self) -> bool:
        """Return whether this VM can state to others what the store holds.

        A VM to which the store responds cannot do so if its watch of the targets fails.
        """
        is_lost = self.follower.contact.lost_at is not None
        return not is_lost and self.follower.has_current_targets()

    async def query_random_vm(self) -> None:
        """Query a random VM, which may reach the store when others do not."""
        vms = self.fleet.data_center_peers()
        if not vms or self.random.random() < ALL_CENTERS_SHARE:
            vms = list(self.fleet.vms_by_name.values())
        if vms:
            await self.query(self.random.choice(vms).name)

    async def query(self, peer: str) -> ViewStatus | None:
        """Query a VM once, apply what is newer there and return its status.

        Returns
        -------
        ViewStatus | None
            None if no valid reply came in time.
        """
        requested_at = time_since_boot()
        reply = await self.datagrams.request(peer, ViewRequest(), QUERY_TIMEOUT_S)
        if reply.is_error() or not isinstance(reply.ok, ViewStatus):
            return None
        status = reply.ok
        await self.fetch_newer(peer, status)
        if status.version != self.view.version or status.revision == 0:
            return status
        self.view.confirm(status.version, requested_at - status.age_s)
        age_s = time_since_boot() - requested_at + status.age_s
        self.follower.contact.record_relayed_response(age_s)
        is_useful = status.age_s <= MAX_USEFUL_AGE_S and status.reaches_store
        if is_useful and not self.has_newer_list(status):
            self.follower.polling_pause.extend(POLLING_PAUSE_S)
        return status

    async def reply_to_request(self, sender: Sender, body: Message) -> ViewStatus:
        """Reply to a query with the versions that this VM has."""
        return self.own_status()

    def own_status(self) -> ViewStatus:
        """Return the versions that this VM has."""
        view = self.view
        age_s = min(1e6, view.age_s(time_since_boot()))
        reaches_store = self.reaches_store()
        lapsed_count = len(self.follower.lapses_end_by_id)
        return ViewStatus(
            view.version, age_s, view.revision, reaches_store, lapsed_count
        )

    async def receive_status(self, sender: Sender, body: Message) -> None:
        """Process a status that another VM has sent without being queried."""
        assert isinstance(body, ViewStatus)
        if not body.reaches_store:
            self.fleet.record_store_reachability(sender.vm, False, current_time())
            self.query_now()
        # Fetching takes time, in which other datagrams must be handled.
        self.pushed_status = (sender.vm, body)
        self.status_pushed.set()

    def query_now(self) -> None:
        """Start the next query to the store poller without waiting for its interval."""
        self.query_requested.set()
        self.query_requested = Event()

    async def fetch_forever(self) -> None:
        """Fetch newer versions after each status that another VM has pushed."""
        while True:
            await self.status_pushed.wait()
            self.status_pushed = Event()
            if self.pushed_status is not None:
                await self.fetch_newer(*self.pushed_status)
            if self.view.age_s(time_since_boot()) >= STALE_AGE_S:
                # The delay of a pushed status is unknown, and so is its age on this
                # VM's clock; a query bounds both.
                self.query_now()

    async def fetch_newer(self, peer: str, status: ViewStatus) -> None:
        """Fetch and apply the versions of a peer that are newer than this VM's."""
        view = self.view
        if status.version <= view.version and not self.has_newer_list(status):
            return
        lapsed_count = len(self.follower.lapses_end_by_id)
        request = ContentRequest(view.version, view.revision, lapsed_count)
        requested_at = current_time()
        reply = await self.bus.request(peer, request, CONTENT_TIMEOUT_S)
        if reply.is_ok() and isinstance(reply.ok, ContentReply):
            self.apply_content(reply.ok, requested_at)

    def has_newer_list(self, status: ViewStatus) -> bool:
        """Return whether the sender of a status has a newer list of targets."""
        own = (self.view.revision, -len(self.follower.lapses_end_by_id))
        return (status.revision, -status.lapsed_count) > own

    async def reply_with_content(self, sender: Sender, body: Message) -> ContentReply:
        """Reply with what is newer than the versions in the request."""
        assert isinstance(body, ContentRequest)
        view, lapses = self.view, self.follower.lapses_end_by_id
        has_new_configuration = view.version > body.version
        known = (body.revision, -body.lapsed_count)
        has_new_list = (view.revision, -len(lapses)) > known
        now = current_time()
        return ContentReply(
            view.stored_configuration if has_new_configuration else None,
            view.revision,
            tuple(view.targets_by_id.values()) if has_new_list else None,
            {target_id: ends_at - now for target_id, ends_at in lapses.items()},
        )

    def apply_content(self, body: ContentReply, requested_at: float) -> None:
        """Put a newer configuration and a newer list of targets in force.

        Parameters
        ----------
        requested_at
            Monotonic time in seconds at which the content was requested.
        """
        stored = body.configuration
        if stored is not None and self.follower.apply_peer_configuration(stored):
            version = self.view.version
            self.events.emit(CONFIGURATION_APPLIED, version=version, source="vm")
        if body.targets is not None:
            lapses_end_by_id = {
                target_id: requested_at + seconds
                for target_id, seconds in body.lapsed_s_by_id.items()
            }
            self.follower.apply_peer_targets(
                body.targets, body.revision, lapses_end_by_id
            )

    async def push_forever(self) -> None:
        """Send the status when the view has changed, if this VM is the store poller."""
        while True:
            await self.follower.wait_update()
            await self.send_status()

    async def warn_forever(self) -> None:
        """Send the store poller's status when the store stops responding to it."""
        while True:
            await self.store_lost.wait()
            self.store_lost = Event()
            await self.send_status()

    async def send_status(self) -> None:
        """Send this VM's status to its data centre, if it is the store poller."""
        if self.is_store_poller:
            status = self.own_status()
            for vm in self.fleet.data_center_peers():
                await self.datagrams.send(vm.name, status)
