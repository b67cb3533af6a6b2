"""Keeps targets whose entries are missing since they may have lapsed in an outage."""

from collections.abc import Callable
from math import inf

from anyio import current_time, Event, move_on_after, sleep

from primroseturn.clock import time_since_boot
from primroseturn.entry.contact import LAPSED_ENTRY_RETURN_S, StoreContact
from primroseturn.entry.events import TARGET_KEPT
from primroseturn.entry.view import VmView
from primroseturn.observation.events import EventLog
from primroseturn.routing.models import Target

# Seconds between two checks whether a lapsed entry is to be dropped while the view is
# not confirmed.
LAPSE_CHECK_INTERVAL_S = 0.1


class LapsedEntries:
    """The targets that are kept for a time although their entries are missing.

    Parameters
    ----------
    drop_targets
        Called with the ids of the targets whose time has ended.

    Attributes
    ----------
    ends_by_id
        Monotonic times in seconds until which targets are kept.
    own_ends_by_id
        The same for targets that only this VM keeps: a list of another VM, the first
        one of an era, lacks them.
    era_ends_at
        Monotonic time in seconds until which entries that are missing from the first
        list of the store's present era are kept.
    added
        Set when a target was added to `ends_by_id`.
    """

    def __init__(
        self,
        view: VmView,
        events: EventLog,
        contact: StoreContact,
        drop_targets: Callable[[list[str]], None],
    ) -> None:
        self.view = view
        self.events = events
        self.contact = contact
        self.drop_targets = drop_targets
        self.ends_by_id: dict[str, float] = {}
        self.own_ends_by_id: dict[str, float] = {}
        self.era_ends_at = -inf
        self.added = Event()

    def begin_era(self, now: float) -> None:
        """Let entries that the store's older copy lacks be kept for a bounded time."""
        self.era_ends_at = now + LAPSED_ENTRY_RETURN_S

    def forget(self, target_id: str) -> None:
        """Forget that the entry of a target was missing."""
        self.ends_by_id.pop(target_id, None)
        self.own_ends_by_id.pop(target_id, None)

    def keep_if_lapsed(
        self,
        listed: dict[str, Target],
        target: Target,
        now: float,
        is_first: bool = False,
    ) -> None:
        """Keep a missing target whose entry may have lapsed in an outage.

        An entry that was missing before keeps its time.

        Parameters
        ----------
        is_first
            Whether the list without it is the first of an era of the store.
        """
        if target.leaving:
            return
        if target.id not in self.ends_by_id | self.own_ends_by_id:
            ends_at = self.contact.lapses.ends_at
            if is_first:
                ends_at = max(ends_at, self.era_ends_at)
            if now >= ends_at:
                return
            self.keep(target.id, ends_at)
        listed[target.id] = target

    def keep_own(self, listed: dict[str, Target], is_first: bool) -> None:
        """Keep what another VM's list lacks, if it is the first one of an era.

        What it lacked is kept until its time ends or a list holds it.
        """
        known = self.view.targets_by_id
        if is_first and current_time() < self.era_ends_at:
            for target in known.values():
                if target.id not in listed and not target.leaving:
                    self.keep(target.id, self.era_ends_at, self.own_ends_by_id)
        for target_id in list(self.own_ends_by_id):
            if target_id in listed or target_id not in known:
                del self.own_ends_by_id[target_id]
            else:
                listed[target_id] = known[target_id]

    def keep_until(self, target_id: str, ends_at: float) -> None:
        """Keep another VM's target that a list lacks until a monotonic time."""
        self.keep(target_id, ends_at, self.own_ends_by_id)

    def keep(
        self,
        target_id: str,
        ends_at: float,
        ends_by_id: dict[str, float] | None = None,
    ) -> None:
        """Keep a target whose entry is missing until a monotonic time in seconds."""
        ends_by_id = self.ends_by_id if ends_by_id is None else ends_by_id
        ends_by_id[target_id] = ends_at
        self.events.emit(
            TARGET_KEPT, target=target_id, seconds=ends_at - current_time()
        )
        self.added.set()
        self.added = Event()

    def replace(self, ends_by_id: dict[str, float]) -> None:
        """Keep the targets that another VM keeps, none of them for longer than before.

        Parameters
        ----------
        ends_by_id
            Monotonic times in seconds until which the other VM keeps them.
        """
        previous = self.ends_by_id
        self.ends_by_id = {}
        for target_id, ends_at in ends_by_id.items():
            self.keep(target_id, min(ends_at, previous.get(target_id, inf)))

    async def drop_forever(self) -> None:
        """Drop the targets whose entries have not reappeared in time.

        Every VM does so by itself, since the drop has no revision that a VM could learn
        of. While the store responds to no VM, no entry can reappear.
        """
        while True:
            ends = (*self.ends_by_id.values(), *self.own_ends_by_id.values())
            wait_s = min(ends, default=inf) - current_time()
            if wait_s > 0:
                with move_on_after(wait_s):
                    await self.added.wait()
            elif (
                self.view.read_age_s(time_since_boot())
                >= self.contact.terms.heartbeat_s
            ):
                await sleep(LAPSE_CHECK_INTERVAL_S)
            else:
                self.drop_due(current_time())

    def drop_due(self, now: float) -> None:
        """Drop the targets whose time has ended."""
        ends_by_id = self.ends_by_id | self.own_ends_by_id
        due = [name for name, ends_at in ends_by_id.items() if ends_at <= now]
        for target_id in due:
            self.forget(target_id)
        self.drop_targets(due)
