"""Tells messages that come again, or too late, by the numbers of their sender.

A bus numbers its messages, and each start of a VM has an id of its own, so that no
field of a message is needed for it.
"""

from collections import deque
from typing import NamedTuple, TypeVar

from primroseturn.control.bus import Sender

# A message may arrive this many seconds after one with a higher number.
MAX_DELAY_S = 2.0
# Starts of a VM whose numbers are kept.
MAX_INCARNATIONS = 4
# VMs whose numbers are kept, so that memory is bounded.
MAX_VMS = 1_000

Item = TypeVar("Item")


class MessageRefusal(NamedTuple):
    """Why a message is not used."""

    reason: str
    detail: str


class IncarnationNumbers:
    """The numbers of messages that came from one start of a VM.

    Attributes
    ----------
    recent
        Numbers that came within `MAX_DELAY_S`, with their monotonic time in seconds.
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
        while self.recent and self.recent[0][0] <= now - MAX_DELAY_S:
            _, number = self.recent.popleft()
            self.seen.discard(number)
            self.floor = max(self.floor, number)

    def check_and_record(
        self, number: int, now: float, in_order: bool
    ) -> MessageRefusal | None:
        """Take note of a number, or return why its message is not used."""
        if number in self.seen:
            return MessageRefusal("doubled", f"number {number} came before")
        if number <= self.floor:
            return MessageRefusal(
                "backwards", f"number {number} came after {self.floor}"
            )
        if in_order and number < self.last_in_order:
            detail = f"number {number} came after {self.last_in_order}"
            return MessageRefusal("overtaken", detail)
        self.seen.add(number)
        self.recent.append((now, number))
        if in_order:
            self.last_in_order = number
        return None


class MessageOrder:
    """Knows which messages of other VMs came before."""

    def __init__(self) -> None:
        self.incarnations_by_vm: dict[str, dict[str, IncarnationNumbers]] = {}

    def is_restart(self, sender: Sender) -> bool:
        """Return whether a VM is heard for the first time since it started anew."""
        numbers_by_incarnation = self.incarnations_by_vm.get(sender.vm, {})
        return (
            bool(numbers_by_incarnation)
            and sender.incarnation not in numbers_by_incarnation
        )

    def check_and_record(
        self, sender: Sender, now: float, in_order: bool = False
    ) -> MessageRefusal | None:
        """Take note of a message, or return why it must not be used.

        Parameters
        ----------
        in_order
            Whether a later message of this kind makes it worthless.
        """
        numbers_by_incarnation = self.incarnations_by_vm.get(sender.vm)
        if numbers_by_incarnation is None:
            numbers_by_incarnation = insert_bounded(
                self.incarnations_by_vm, sender.vm, {}, MAX_VMS
            )
        for start in numbers_by_incarnation.values():
            start.forget_old(now)
        start = numbers_by_incarnation.get(sender.incarnation)
        if start is None:
            start = insert_bounded(
                numbers_by_incarnation,
                sender.incarnation,
                IncarnationNumbers(),
                MAX_INCARNATIONS,
            )
        if in_order and start is not next(reversed(numbers_by_incarnation.values())):
            return MessageRefusal(
                "former_start", "another start of the VM was heard later"
            )
        return start.check_and_record(sender.number, now, in_order)


def insert_bounded(items: dict[str, Item], name: str, item: Item, limit: int) -> Item:
    """Add an item and drop the first of too many."""
    if len(items) >= limit:
        del items[next(iter(items))]
    items[name] = item
    return item
