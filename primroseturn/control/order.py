"""Tells messages that come again, or too late, by the numbers of their sender.

A bus numbers its messages, and each start of a VM has an id of its own, so that no
field of a message is needed for it.
"""

from collections import deque
from typing import NamedTuple, TypeVar

from primroseturn.control.bus import Sender

# A message may arrive this many seconds after one with a higher number.
LATE_S = 2.0
# Starts of a VM whose numbers are kept.
KEPT_STARTS = 4
# VMs whose numbers are kept, so that memory is bounded.
KEPT_VMS = 1_000

Item = TypeVar("Item")


class Misfit(NamedTuple):
    """Why a message is not used."""

    reason: str
    detail: str


class StartNumbers:
    """The numbers of messages that came from one start of a VM.

    Attributes
    ----------
    recent
        Numbers that came within `LATE_S`, with their monotonic time in seconds.
    floor
        Highest number that came before that; lower ones are refused.
    last_in_order
        Highest number of a message that a later one makes worthless.
    """

    def __init__(self) -> None:
        self.recent: deque[tuple[float, int]] = deque()
        self.seen: set[int] = set()
        self.floor = 0
        self.last_in_order = 0

    def forget_old(self, now: float) -> None:
        """Raise the floor to what came longer ago than a message may be late."""
        while self.recent and self.recent[0][0] <= now - LATE_S:
            _, number = self.recent.popleft()
            self.seen.discard(number)
            self.floor = max(self.floor, number)

    def take(self, number: int, now: float, in_order: bool) -> Misfit | None:
        """Take note of a number, or return why its message is not used."""
        if number in self.seen:
            return Misfit("doubled", f"number {number} came before")
        if number <= self.floor:
            return Misfit("backwards", f"number {number} came after {self.floor}")
        if in_order and number < self.last_in_order:
            detail = f"number {number} came after {self.last_in_order}"
            return Misfit("overtaken", detail)
        self.seen.add(number)
        self.recent.append((now, number))
        if in_order:
            self.last_in_order = number
        return None


class MessageOrder:
    """Knows which messages of other VMs came before."""

    def __init__(self) -> None:
        self.starts_by_vm: dict[str, dict[str, StartNumbers]] = {}

    def is_restart(self, sender: Sender) -> bool:
        """Return whether a VM is heard for the first time since it started anew."""
        starts_by_id = self.starts_by_vm.get(sender.vm, {})
        return bool(starts_by_id) and sender.incarnation not in starts_by_id

    def take(self, sender: Sender, now: float, in_order: bool = False) -> Misfit | None:
        """Take note of a message, or return why it must not be used.

        Parameters
        ----------
        in_order
            Whether a later message of this kind makes it worthless.
        """
        starts_by_id = self.starts_by_vm.get(sender.vm)
        if starts_by_id is None:
            starts_by_id = keep(self.starts_by_vm, sender.vm, {}, KEPT_VMS)
        for start in starts_by_id.values():
            start.forget_old(now)
        start = starts_by_id.get(sender.incarnation)
        if start is None:
            start = keep(starts_by_id, sender.incarnation, StartNumbers(), KEPT_STARTS)
        if in_order and start is not next(reversed(starts_by_id.values())):
            return Misfit("former_start", "another start of the VM was heard later")
        return start.take(sender.number, now, in_order)


def keep(items: dict[str, Item], name: str, item: Item, limit: int) -> Item:
    """Add an item and drop the first of too many."""
    if len(items) >= limit:
        del items[next(iter(items))]
    items[name] = item
    return item
