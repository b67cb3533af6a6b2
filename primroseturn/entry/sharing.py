"""VMs of a data centre share what one of them, the source, learns from the store.

The source asks the store; the others ask the source. An answer vouches for the age of
the configuration: its age counts from the source's question to the store, and on the
receiver's clock from its own question to the source, so that no delay on the way makes
a view look younger than it is. A VM that loses the store says so, and the next one by
name takes its place, so that a store that turns VMs away is not asked by all of them.
"""

from random import Random
from typing import Any

from anyio import current_time, Event, move_on_after, sleep

from primroseturn.clock import time_since_boot
from primroseturn.control.bus import Bus, Sender
from primroseturn.control.messages import Message, message
from primroseturn.entry.events import CONFIGURATION_APPLIED
from primroseturn.entry.following import START_BACKOFF_S, StoreFollower
from primroseturn.entry.models import Target
from primroseturn.entry.view import FleetView
from primroseturn.membership.fleet import Fleet
from primroseturn.observation.events import EventLog

# Interval of questions to the source in seconds.
ASK_INTERVAL_S = 0.7
# Longest wait for its answer in seconds; the source is a millisecond away.
ASK_LIMIT_S = 0.25
# Longest wait for a configuration or a list, whose connection may have to be opened.
CONTENT_LIMIT_S = 0.5
# An answer is of use while its age is below this many seconds: the interval of the
# source's questions to the store, with a slow answer.
USEFUL_AGE_S = 1.3
# A VM whose own view is older than this many seconds asks any other VM.
STALE_S = 1.0
STALE_INTERVAL_S = 0.2
# After this many seconds without a useful answer a VM follows the store itself.
BACKOFF_S = 1.5
# VMs that are asked in turn, twice each, before a VM follows the store itself.
SOURCES_TRIED = 3
# Part of the questions to anybody that go to VMs of all data centres, which may reach
# the store when none of this one does.
FAR_SHARE = 0.3
# Interval in seconds at which a starting VM looks whether it knows the others.
LISTED_INTERVAL_S = 0.05


@message("view-question")
class ViewRequest(Message, frozen=True, array_like=True):
    """Asks for the versions that the receiver knows."""


@message("view-voucher")
class ViewStatus(Message, frozen=True, array_like=True):
    """The versions that the sender knows.

    Attributes
    ----------
    version
        Version of its configuration.
    age_s
        Time in seconds since that was known to be the newest one.
    revision
        Revision of its target list.
    connected
        Whether the store answers it and its own watch of the targets works.
    """

    version: int
    age_s: float
    revision: int
    connected: bool


@message("content-question")
class ContentRequest(Message, frozen=True, array_like=True):
    """Asks for what is newer than the stated versions."""

    version: int
    revision: int


@message("content-answer")
class ContentReply(Message, frozen=True, array_like=True):
    """What is newer than the versions of a question.

    Attributes
    ----------
    configuration
        The configuration as stored, or None if the question's is as new.
    targets
        The target list of `revision`, or None.
    """

    configuration: Any
    revision: int
    targets: tuple[Target, ...] | None


class ViewSharing:
    """Answers the other VMs of this data centre and asks their aggregator.

    Parameters
    ----------
    datagrams
        Carries questions and vouchers.
    bus
        Carries configurations and lists.
    """

    def __init__(
        self,
        datagrams: Bus,
        bus: Bus,
        fleet: Fleet,
        view: FleetView,
        follower: StoreFollower,
        events: EventLog,
    ) -> None:
        self.datagrams = datagrams
        self.bus = bus
        self.fleet = fleet
        self.view = view
        self.follower = follower
        self.events = events
        self.is_source = False
        self.random = Random()
        self.lost = Event()
        self.warned = Event()
        self.offer: tuple[str, ViewStatus] | None = None
        self.offered = Event()
        follower.contact.loss_listeners.append(lambda: self.lost.set())
        datagrams.register_handler(ViewRequest, self.answer)
        datagrams.register_handler(ViewStatus, self.take_news)
        bus.register_handler(ContentRequest, self.send_content)
        view.configuration_listeners.append(lambda _: self.follower.news.set())
        view.target_listeners.append(lambda _: self.follower.news.set())

    async def ask_forever(self) -> None:
        """Ask the source again and again, and anybody while the view is stale."""
        started_at = current_time()
        while not self.fleet.has_list and current_time() - started_at < START_BACKOFF_S:
            await sleep(LISTED_INTERVAL_S)
        while True:
            await self.query_store_poller()
            stale = self.view.age_s(time_since_boot()) >= STALE_S
            if stale:
                await self.ask_anybody()
            with move_on_after(STALE_INTERVAL_S if stale else ASK_INTERVAL_S):
                await self.warned.wait()

    async def query_store_poller(self) -> None:
        """Ask the VM that asks the store, or be that VM."""
        own = self.fleet.own.name
        for _ in range(SOURCES_TRIED):
            connected = self.reaches_store()
            source = self.fleet.store_poller(current_time(), connected)
            self.is_source = source == own
            if self.is_source:
                break
            voucher = await self.ask(source) or await self.ask(source)
            reached = voucher is not None and voucher.connected
            self.fleet.record_store_reachability(source, reached, current_time())
            if reached:
                return
        self.follower.backoff.end()

    def reaches_store(self) -> bool:
        """Return whether this VM can tell others what the store says.

        A VM whose watch of the targets fails for another reason than the store can't.
        """
        lost = self.follower.contact.lost_at is not None
        return not lost and self.follower.follows_targets()

    async def ask_anybody(self) -> None:
        """Ask a VM that may still reach the store when others don't."""
        vms = self.fleet.neighbours()
        if not vms or self.random.random() < FAR_SHARE:
            vms = list(self.fleet.vms_by_name.values())
        if vms:
            await self.ask(self.random.choice(vms).name)

    async def ask(self, peer: str) -> ViewStatus | None:
        """Ask a VM once, use its answer and return it."""
        asked_at = time_since_boot()
        reply = await self.datagrams.request(peer, ViewRequest(), ASK_LIMIT_S)
        if reply.is_error() or not isinstance(reply.ok, ViewStatus):
            return None
        voucher = reply.ok
        await self.fetch(peer, voucher)
        if voucher.version != self.view.version or voucher.revision == 0:
            return voucher
        self.view.confirm(voucher.version, asked_at - voucher.age_s)
        useful = voucher.age_s <= USEFUL_AGE_S and voucher.connected
        if useful and self.view.revision >= voucher.revision:
            self.follower.backoff.extend(BACKOFF_S)
        return voucher

    async def answer(self, sender: Sender, body: Message) -> ViewStatus:
        """Vouch for what this VM knows."""
        return self.vouch()

    def vouch(self) -> ViewStatus:
        """Return the versions that this VM knows."""
        view = self.view
        age_s = min(1e6, view.age_s(time_since_boot()))
        connected = self.reaches_store()
        return ViewStatus(view.version, age_s, view.revision, connected)

    async def take_news(self, sender: Sender, body: Message) -> None:
        """Fetch what the source says is new, or look for another source."""
        assert isinstance(body, ViewStatus)
        if not body.connected:
            self.fleet.record_store_reachability(sender.vm, False, current_time())
            self.end_pause()
        # Fetching takes time, in which other datagrams must be handled.
        self.offer = (sender.vm, body)
        self.offered.set()

    def end_pause(self) -> None:
        """Ask the source at once instead of after the usual pause."""
        self.warned.set()
        self.warned = Event()

    async def fetch_forever(self) -> None:
        """Fetch what other VMs have said to be new."""
        while True:
            await self.offered.wait()
            self.offered = Event()
            if self.offer is not None:
                await self.fetch(*self.offer)
            if self.view.age_s(time_since_boot()) >= STALE_S:
                # News do not tell their age on this VM's clock; a question does.
                self.end_pause()

    async def fetch(self, peer: str, voucher: ViewStatus) -> None:
        """Fetch what a peer has that is newer."""
        view = self.view
        if voucher.version <= view.version and voucher.revision <= view.revision:
            return
        question = ContentRequest(view.version, view.revision)
        reply = await self.bus.request(peer, question, CONTENT_LIMIT_S)
        if reply.is_ok() and isinstance(reply.ok, ContentReply):
            self.learn(reply.ok)

    async def send_content(self, sender: Sender, body: Message) -> ContentReply:
        """Answer with what is newer than the stated versions."""
        assert isinstance(body, ContentRequest)
        view = self.view
        newer, listed = view.version > body.version, view.revision > body.revision
        return ContentReply(
            view.stored_configuration if newer else None,
            view.revision,
            tuple(view.targets_by_id.values()) if listed else None,
        )

    def learn(self, body: ContentReply) -> None:
        """Use a newer configuration and a newer list."""
        stored = body.configuration
        if stored is not None and self.follower.apply_peer_configuration(stored):
            version = self.view.version
            self.events.emit(CONFIGURATION_APPLIED, version=version, source="vm")
        if body.targets is not None and body.revision > self.view.revision:
            listed = {target.id: target for target in body.targets}
            self.follower.apply_targets(listed, body.revision)

    async def push_forever(self) -> None:
        """Tell the rest of the data centre of changes as soon as they are known."""
        while True:
            await self.follower.wait_news()
            await self.tell()

    async def warn_forever(self) -> None:
        """Tell the rest of the data centre as soon as the store stops answering."""
        while True:
            await self.lost.wait()
            self.lost = Event()
            await self.tell()

    async def tell(self) -> None:
        """Send a voucher to the VMs that rely on this one."""
        if self.is_source:
            voucher = self.vouch()
            for vm in self.fleet.neighbours():
                await self.datagrams.send(vm.name, voucher)
