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
from typing import NamedTuple

from anyio import current_time, Event, Lock, move_on_after, sleep
from msgspec import field
from msgspec.structs import replace

from primroseturn.clock import time_since_boot
from primroseturn.control.bus import Bus, Sender
from primroseturn.control.messages import Message, message
from primroseturn.entry.document_exchange import (
    DocumentExchange,
    PART_TIMEOUT_S,
    REPLY_TIMEOUT_S,
)
from primroseturn.entry.documents import (
    decode_targets,
    DocumentHead,
    encode_document,
)
from primroseturn.entry.eras import Evidence
from primroseturn.entry.following import START_PAUSE_S, StoreFollower
from primroseturn.entry.reliance import query_pause_s
from primroseturn.entry.view import VmView
from primroseturn.membership.fleet import Fleet
from primroseturn.observation.events import EventLog
from primroseturn.platform.pages import NO_REVISION, StoreRevision

# Longest wait in seconds for the store poller's reply; it is a millisecond away.
QUERY_TIMEOUT_S = 0.25
# Age in seconds from which a VM's view is stale, so that it also queries random other
# VMs, and the seconds between its queries while it is.
STALE_AGE_S = 1.0
STALE_INTERVAL_S = 0.2
# VMs that are queried in turn, twice each, before a VM polls the store itself.
MAX_STORE_POLLERS_TRIED = 3
# Fraction of the queries to random VMs that go to VMs of all data centres, which may
# reach the store when no VM of this data centre does.
ALL_CENTERS_SHARE = 0.3
# Age in seconds from which more of them do: a VM whose data centre is cut off from the
# store must learn of evacuations from another one.
OLD_AGE_S, OLD_ALL_CENTERS_SHARE = 2.0, 0.7
# Seconds between the queries to random VMs in an era of the store that is trusted and
# not settled: another VM may know a newer version.
UNSETTLED_INTERVAL_S = 0.5
# Age in seconds that is stated for a configuration without any confirmation.
UNCONFIRMED_AGE_S = 1e6
# Longest time in seconds that the rest of a configuration may take to come from another
# VM so that this VM does not read it from the store at the same time, as all VMs would.
MAX_RELAY_LEFT_S = 2.0
# Largest age in seconds of a VM's view up to which it waits for a store poller that is
# receiving a configuration. Keys are accepted for 4.4 s.
MAX_AWAITING_AGE_S = 3.0
# Seconds between two checks of a starting VM whether it knows the other VMs.
FLEET_CHECK_INTERVAL_S = 0.05

# Bytes beside its characters that the id of a target takes in a message.
MAX_ID_HEADER_BYTES = 3


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
    evacuations_revision
        Store revision of its evacuations; 0 before the first list of them, and -1 if
        the sender does not follow them, such as an earlier version of this program.
    read_age_s
        Time in seconds since the store was read by the sender or for it, whatever
        version it held; None means `age_s`.
    era
        The newest era of the store that the sender knows.
    revision_era, evacuations_era
        Eras of `revision` and `evacuations_revision`.
    changes_revision, changes_era
        Store revision from which the sender follows the changes of its configuration,
        and its era; 0 if it reads the whole again and again.
    is_receiving
        Whether the sender is receiving a large configuration from the store.
    trusted_era, settled_era
        The newest era in which the sender trusts the store to hold no newer
        configuration than `version` or the one that it states, and the newest one that
        is settled; 0 if the sender does not have the newest version that it knows of.
    remembered_era
        The newest era whose begin the sender's lists remember, 0 for none.
    """

    version: int
    age_s: float
    revision: int
    reaches_store: bool
    lapsed_count: int = 0
    evacuations_revision: int = -1
    read_age_s: float | None = None
    era: int = 0
    revision_era: int = 0
    evacuations_era: int = 0
    changes_revision: int = 0
    changes_era: int = 0
    is_receiving: bool = False
    trusted_era: int = 0
    settled_era: int = 0
    remembered_era: int = 0

    @property
    def listed_at(self) -> StoreRevision:
        """Return the revision of the list of targets."""
        return StoreRevision(self.revision_era, self.revision)

    @property
    def evacuated_at(self) -> StoreRevision:
        """Return the revision of the evacuations."""
        return StoreRevision(self.evacuations_era, self.evacuations_revision)

    @property
    def changes_from(self) -> StoreRevision:
        """Return the revision from which the sender follows the configuration."""
        return StoreRevision(self.changes_era, self.changes_revision)


@message("configuration-request")
class ConfigurationRequest(Message, frozen=True, array_like=True):
    """Requests a configuration that is newer than `version`, which the sender has.

    The reply is a `DocumentHead`.
    """

    version: int


@message("targets-request")
class TargetsRequest(Message, frozen=True, array_like=True):
    """Requests the list of targets and the evacuations.

    The reply is a `TargetsReply`.
    """


@message("targets-reply")
class TargetsReply(Message, frozen=True, array_like=True):
    """Describes a list of targets, and holds the evacuations.

    Attributes
    ----------
    revision
        Store revision of the list.
    lapsed_s_by_id
        Seconds for which targets of the list are kept although their entries are
        missing.
    head
        Describes the document that holds the targets.
    evacuations_revision
        Store revision of the evacuations; 0 or less if the sender knows none.
    evacuated
        The evacuated data centres.
    revision_era, evacuations_era
        Eras of `revision` and `evacuations_revision`.
    first_number, unchanged_ids
        Number of the revision of the first list of the era, and ids of the entries that
        have not changed since.
    kept_s_by_data_center
        Seconds for which evacuations are kept although their objects are missing.
    remembered_era
        As in the status.
    own_lapsed_s_by_id
        Seconds for which the sender keeps targets that another VM's list lacked.
    """

    revision: int
    lapsed_s_by_id: dict[str, float]
    head: DocumentHead
    evacuations_revision: int = -1
    evacuated: tuple[str, ...] = ()
    revision_era: int = 0
    evacuations_era: int = 0
    first_number: int = 0
    unchanged_ids: tuple[str, ...] = ()
    kept_s_by_data_center: dict[str, float] = field(default_factory=dict)
    remembered_era: int = 0
    own_lapsed_s_by_id: dict[str, float] = field(default_factory=dict)


class SeenNumber(NamedTuple):
    """The highest version or revision that was seen, and when it was seen first."""

    number: int | StoreRevision
    seen_at: float


def seconds_until(ends_by_name: dict[str, float], now: float) -> dict[str, float]:
    """Return the seconds that are left until monotonic times."""
    return {name: ends_at - now for name, ends_at in ends_by_name.items()}


def ends_after(seconds_by_name: dict[str, float], now: float) -> dict[str, float]:
    """Return the monotonic times after seconds that were left."""
    return {name: now + seconds for name, seconds in seconds_by_name.items()}


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
    documents
        Sends and fetches configurations and lists of targets.
    fetching
        Held while documents are fetched, so that none is fetched twice.
    newest_version, newest_revision, newest_evacuations
        The newest version of the configuration and revisions of the list of targets and
        of the evacuations that another VM has stated, with the time since boot in
        seconds.
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
        self.documents = DocumentExchange(bus, events)
        self.fetching = Lock()
        self.newest_version = SeenNumber(0, 0.0)
        self.newest_revision = SeenNumber(NO_REVISION, 0.0)
        self.newest_evacuations = SeenNumber(NO_REVISION, 0.0)
        self.random = Random()
        self.store_lost = Event()
        self.query_requested = Event()
        self.pushed_status: tuple[str, ViewStatus] | None = None
        self.status_pushed = Event()
        follower.contact.loss_listeners.append(lambda: self.store_lost.set())
        datagrams.register_handler(ViewRequest, self.reply_to_request)
        datagrams.register_handler(ViewStatus, self.receive_status)
        bus.register_handler(ConfigurationRequest, self.reply_with_configuration)
        bus.register_handler(TargetsRequest, self.reply_with_targets)
        view.configuration_listeners.append(lambda _: self.follower.updated.set())
        view.target_listeners.append(lambda _: self.follower.updated.set())
        view.evacuation_listeners.append(lambda _: self.follower.updated.set())

    async def ask_forever(self) -> None:
        """Query the store poller at intervals, and random VMs while the view is stale.

        The first query waits until the other VMs are known, for a bounded time.
        """
        started_at = current_time()
        while not self.fleet.has_list and current_time() - started_at < START_PAUSE_S:
            await sleep(FLEET_CHECK_INTERVAL_S)
        while True:
            await self.query_store_poller()
            pause_s = STALE_INTERVAL_S
            trust = self.follower.trust
            age_s = self.view.age_s(time_since_boot())
            if age_s >= STALE_AGE_S or not trust.is_settled:
                await self.query_random_vm()
                age_s = self.view.age_s(time_since_boot())
            if age_s < STALE_AGE_S and trust.is_trusted:
                pause_s = query_pause_s(age_s, self.random.random())
                if not trust.is_settled:
                    pause_s = min(pause_s, UNSETTLED_INTERVAL_S)
            with move_on_after(pause_s):
                await self.query_requested.wait()

    async def query_store_poller(self) -> None:
        """Query the VM that polls the store, or poll the store from this VM."""
        own = self.fleet.own.name
        for _ in range(MAX_STORE_POLLERS_TRIED):
            reaches_store = self.follower.reaches_store()
            store_poller = self.fleet.store_poller(current_time(), reaches_store)
            self.is_store_poller = store_poller == own
            if self.is_store_poller:
                break
            status = await self.query(store_poller) or await self.query(store_poller)
            peer_reaches_store = status is not None and self.can_poll_for(status)
            self.fleet.record_store_reachability(
                store_poller, peer_reaches_store, current_time()
            )
            if peer_reaches_store:
                return
        self.follower.polling_pause.end()

    def can_poll_for(self, status: ViewStatus) -> bool:
        """Return whether the sender of a status can read the store for this VM.

        A VM that does not follow evacuations can't where there may be some.
        """
        follows = self.view.follows_evacuations
        return status.reaches_store and (
            not follows or status.evacuations_revision >= 0
        )

    async def query_random_vm(self) -> None:
        """Query a random VM, which may reach the store when others do not."""
        vms = self.fleet.data_center_peers()
        share = ALL_CENTERS_SHARE
        is_old = self.view.age_s(time_since_boot()) >= OLD_AGE_S
        if (
            self.view.follows_evacuations and is_old
        ) or not self.follower.trust.is_settled:
            # The VMs of a data centre often restart together and then know no more.
            share = OLD_ALL_CENTERS_SHARE
        if not vms or self.random.random() < share:
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
        if status.is_receiving and self.can_poll_for(status):
            self.await_store_poller()
        known_era = self.follower.store.era
        if status.era < known_era or (known_era and status.version < self.view.version):
            # The store may have lost what the peer does not know of.
            await self.datagrams.send(peer, self.own_status())
        if (
            status.version != self.view.version
            or status.revision == 0
            or self.lacks_memory_of(status)
        ):
            return status
        if status.age_s < UNCONFIRMED_AGE_S:
            self.follower.configuration.confirm(
                status.version, requested_at - status.age_s, peer
            )
        age_s = status.age_s if status.read_age_s is None else status.read_age_s
        self.view.record_reading(requested_at - age_s)
        age_s += time_since_boot() - requested_at
        self.follower.contact.record_relayed_response(age_s)
        # A VM that is behind as well does not spare this one its own calls. A store
        # poller that gets responses goes on: others rely on its readings, and its view
        # is stale while the store holds an older version.
        reads_for_others = self.is_store_poller and self.follower.reaches_store()
        if (
            not reads_for_others
            and self.can_poll_for(status)
            and not self.is_behind()
            and not self.must_ignore_lists(status.remembered_era)
            and not self.has_newer_list(status)
            and not self.has_newer_evacuations(status)
        ):
            self.follower.configuration.adopt_position(
                status.version, status.changes_from
            )
            self.follower.rely_on_peer()
        return status

    async def reply_to_request(self, sender: Sender, body: Message) -> ViewStatus:
        """Reply to a query with the versions that this VM has."""
        return self.own_status()

    def own_status(self) -> ViewStatus:
        """Return the versions that this VM has."""
        view = self.view
        age_s = min(UNCONFIRMED_AGE_S, view.age_s(time_since_boot()))
        reaches_store = self.follower.reaches_store()
        lapsed_count = len(self.follower.targets.lapsed.ends_by_id)
        changes_from = self.follower.configuration.stated_position()
        trust = self.follower.trust
        # A newer version than this VM's would be unknown to those that it informs.
        has_newest = view.version >= self.newest_version.number
        return ViewStatus(
            view.version,
            age_s,
            view.revision.number,
            reaches_store,
            lapsed_count,
            self.stated_evacuations_revision(),
            min(UNCONFIRMED_AGE_S, view.read_age_s(time_since_boot())),
            self.follower.store.era,
            view.revision.era,
            view.evacuations_revision.era,
            changes_from.number,
            changes_from.era,
            self.follower.configuration.is_receiving,
            trust.trusted_era if has_newest else 0,
            trust.settled_era if has_newest else 0,
            self.follower.targets.memory.era,
        )

    def stated_evacuations_revision(self) -> int:
        """Return the revision of this VM's evacuations as other VMs are told it."""
        view = self.view
        return view.evacuations_revision.number if view.follows_evacuations else -1

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

    def is_behind(self) -> bool:
        """Return whether newer versions, lists or evacuations exist than this VM has.

        What the store has responded since they were seen is believed instead.
        """
        newest, evacuations = self.newest_evacuations, self.follower.evacuations
        if (
            evacuations is not None
            and newest.number > self.view.evacuations_revision
            and evacuations.listed_at < newest.seen_at
        ):
            return True
        view, version, revision = self.view, self.newest_version, self.newest_revision
        confirmed_at = 0.0 if view.confirmed_at is None else view.confirmed_at
        listed_at = self.follower.targets.listed_at
        return (version.number > view.version and confirmed_at < version.seen_at) or (
            revision.number > view.revision and listed_at < revision.seen_at
        )

    def must_ignore_lists(self, remembered_era: int) -> bool:
        """Return whether another VM's lists may lack what this VM remembers.

        Parameters
        ----------
        remembered_era
            The era that the other VM states.
        """
        memory = self.follower.targets.memory
        return memory.era > remembered_era and memory.is_recent(current_time())

    def has_newer_list(self, status: ViewStatus) -> bool:
        """Return whether the sender of a status has a newer list of targets."""
        if self.must_ignore_lists(status.remembered_era):
            return False
        return (status.listed_at, -status.lapsed_count) > self.own_list()

    def lacks_memory_of(self, status: ViewStatus) -> bool:
        """Return whether the sender knows what was listed before the present era.

        This VM does not, as it has started or was cut off.
        """
        era = self.follower.store.era
        return self.follower.targets.memory.era < era <= status.remembered_era

    def can_adopt_memory(self, reply: TargetsReply) -> bool:
        """Return whether a peer's reply tells what it knew before the present era.

        Only lists of the present era show what the peer does not use of them.
        """
        era = self.follower.store.era
        listed_era = reply.revision_era
        if self.view.follows_evacuations and reply.evacuations_revision >= 0:
            listed_era = min(listed_era, reply.evacuations_era)
        return (
            self.follower.targets.memory.era < era
            and min(reply.remembered_era, listed_era) >= era
        )

    def own_list(self) -> tuple[StoreRevision, int]:
        """Return what orders lists of targets, newer ones last, of this VM's list."""
        return self.view.revision, -len(self.follower.targets.lapsed.ends_by_id)

    def has_newer_evacuations(self, status: ViewStatus) -> bool:
        """Return whether the sender of a status has newer evacuations."""
        view = self.view
        return (
            view.follows_evacuations
            and status.evacuated_at > view.evacuations_revision
            and not self.must_ignore_lists(status.remembered_era)
        )

    def record_versions(self, status: ViewStatus) -> None:
        """Record the newest era, version and revisions that another VM has stated."""
        now = time_since_boot()
        self.follower.store.advance_era(status.era)
        configuration = self.follower.configuration
        configuration.newest_version = max(configuration.newest_version, status.version)
        if status.version > self.newest_version.number:
            self.newest_version = SeenNumber(status.version, now)
        if status.listed_at > self.newest_revision.number:
            self.newest_revision = SeenNumber(status.listed_at, now)
        if status.evacuated_at > self.newest_evacuations.number:
            self.newest_evacuations = SeenNumber(status.evacuated_at, now)

    async def fetch_newer(self, peer: str, status: ViewStatus) -> None:
        """Fetch and apply what is newer at a peer than at this VM.

        What can't be fetched is read from the store at once.
        """
        self.record_versions(status)
        async with self.fetching:
            if status.version > self.view.version:
                await self.fetch_configuration(peer)
            if (
                self.lacks_memory_of(status)
                or self.has_newer_list(status)
                or self.has_newer_evacuations(status)
            ):
                await self.fetch_targets(peer)
        # Only now, since the last reading of the store may then confirm the view: this
        # VM has been told of the sender's version and has what else is newer there.
        if not self.lacks_memory_of(status):
            self.adopt_trust(status)
        if self.is_behind():
            self.follower.polling_pause.end()

    def adopt_trust(self, status: ViewStatus) -> None:
        """Trust the store in its present era if the sender of a status does."""
        trust = self.follower.trust
        if status.settled_era:
            trust.settle(status.settled_era, Evidence.VM)
        if status.trusted_era:
            trust.trust(status.trusted_era, Evidence.VM)

    async def fetch_configuration(self, peer: str) -> None:
        """Fetch and apply a peer's configuration.

        If the patch of this VM's version does not fit, the whole is fetched.
        """
        for version in dict.fromkeys((self.view.version, 0)):
            old = self.view.stored_configuration
            request = ConfigurationRequest(version)
            reply = await self.bus.request(peer, request, REPLY_TIMEOUT_S)
            if reply.is_error() or not isinstance(reply.ok, DocumentHead):
                return
            fetched = await self.documents.fetch(peer, reply.ok, old, self.await_relay)
            if fetched.is_ok():
                self.follower.configuration.apply_peer_configuration(fetched.ok, peer)
                return

    def await_relay(self, left_s: float) -> None:
        """Rely on a VM that sends its configuration until the next part is due.

        Parameters
        ----------
        left_s
            Seconds that the rest will probably take.
        """
        if left_s <= MAX_RELAY_LEFT_S:
            self.follower.polling_pause.extend(PART_TIMEOUT_S)

    def await_store_poller(self) -> None:
        """Rely on a store poller that is receiving a configuration until it has it.

        If all VMs read it at the same time, it takes longer for each.
        """
        age_s = self.view.read_age_s(time_since_boot())
        if not self.is_store_poller and age_s <= MAX_AWAITING_AGE_S:
            self.follower.polling_pause.extend(PART_TIMEOUT_S)

    async def fetch_targets(self, peer: str) -> None:
        """Fetch and apply a peer's list of targets and its evacuations.

        Either may be older than this VM's and is then left out, except for what the
        peer remembers from before the present era.
        """
        requested_at = current_time()
        reply = await self.bus.request(peer, TargetsRequest(), REPLY_TIMEOUT_S)
        if reply.is_error() or not isinstance(reply.ok, TargetsReply):
            return
        revision = StoreRevision(reply.ok.revision_era, reply.ok.revision)
        self.follower.store.advance_era(revision.era)
        if self.must_ignore_lists(reply.ok.remembered_era):
            return
        adopts_memory = self.can_adopt_memory(reply.ok)
        self.apply_peer_evacuations(peer, reply.ok, requested_at, adopts_memory)
        is_newer = (revision, -len(reply.ok.lapsed_s_by_id)) > self.own_list()
        if not is_newer and not adopts_memory:
            return
        fetched = await self.documents.fetch(peer, reply.ok.head)
        targets = fetched.bind(decode_targets)
        if targets.is_error():
            return
        lapses_end_by_id = ends_after(reply.ok.lapsed_s_by_id, requested_at)
        followed = self.follower.targets
        if is_newer:
            followed.apply_peer_targets(
                targets.ok,
                revision,
                lapses_end_by_id,
                reply.ok.first_number,
                reply.ok.unchanged_ids,
            )
        if adopts_memory:
            own_ends_by_id = ends_after(reply.ok.own_lapsed_s_by_id, requested_at)
            followed.adopt_memory(
                targets.ok, own_ends_by_id | lapses_end_by_id, reply.ok.unchanged_ids
            )

    def apply_peer_evacuations(
        self,
        peer: str,
        reply: TargetsReply,
        requested_at: float,
        adopts_memory: bool,
    ) -> None:
        """Apply a peer's evacuations, unless this VM's are newer."""
        evacuations = self.follower.evacuations
        if evacuations is None or reply.evacuations_revision <= 0:
            return
        revision = StoreRevision(reply.evacuations_era, reply.evacuations_revision)
        self.follower.store.advance_era(revision.era)
        kept = ends_after(reply.kept_s_by_data_center, requested_at)
        evacuated = set(reply.evacuated) - kept.keys()
        evacuations.put_in_force(evacuated, revision, peer, kept)
        if adopts_memory:
            evacuations.adopt_kept(kept, peer)

    async def reply_with_configuration(
        self, sender: Sender, body: Message
    ) -> DocumentHead | None:
        """Describe the configuration to a VM that has an older version."""
        assert isinstance(body, ConfigurationRequest)
        if self.view.configuration is None:
            return None
        return self.documents.keep(self.view.document_for(body.version))

    async def reply_with_targets(self, sender: Sender, body: Message) -> TargetsReply:
        """Describe the list of targets."""
        now = current_time()
        lapsed = self.follower.targets.lapsed
        document = encode_document(list(self.view.targets_by_id.values()))
        head = self.documents.keep(document)
        targets, evacuations = self.follower.targets, self.follower.evacuations
        unchanged_ids = tuple(targets.unchanged_ids)
        # The reply with the ids must fit into one message.
        ids_bytes = sum(len(name) + MAX_ID_HEADER_BYTES for name in unchanged_ids)
        first_part = head.first_part[: max(0, len(head.first_part) - ids_bytes)]
        ends = {} if evacuations is None else evacuations.ends_by_data_center
        return TargetsReply(
            self.view.revision.number,
            seconds_until(lapsed.ends_by_id, now),
            replace(head, first_part=first_part),
            self.stated_evacuations_revision(),
            tuple(sorted(self.view.evacuated or ())),
            self.view.revision.era,
            self.view.evacuations_revision.era,
            targets.first_number,
            unchanged_ids,
            seconds_until(ends, now),
            targets.memory.era,
            seconds_until(lapsed.own_ends_by_id, now),
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
