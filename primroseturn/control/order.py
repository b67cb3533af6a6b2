"""Detects duplicated, delayed and reordered messages by their sequence numbers.

A bus numbers its messages and each start of a VM's process has an incarnation id, so
messages need no field of their own for this.
"""

from collections import deque
from typing import NamedTuple, TypeVar

from primroseturn.control.bus import Sender

# A message is refused if it arrives this many seconds or more after one with a higher
# number.
MAX_DELAY_S = 2.0
# Number of incarnations of a VM whose numbers are stored.
MAX_INCARNATIONS = 4
# Number of VMs whose numbers are stored, so that memory is bounded.
MAX_VMS = 1_000

Item = TypeVar("Item")


class MessageRefusal(NamedTuple):
    """Reason why a message is refused."""

    reason: str
    detail: str


class IncarnationNumbers:
    """Sequence numbers received from one incarnation of a VM.

    Attributes
    ----------
    recent
        Monotonic time of arrival in seconds and number of the messages of the last
        `MAX_DELAY_S`.
    seen
        The numbers in `recent`.
    highest_expired
        Highest number received before that time; it and lower ones are refused.
    last_in_order
        Highest number of the messages that must be processed in order.
    """

    def __init__(self) -> None:
        self.recent: deque[tuple[float, int]] = deque()
        self.seen: set[int] = set()
        self.highest_expired = 0
        self.last_in_order = 0

    def expire_old(self, now: float) -> None:
        """Raise `highest_expired` to the highest number older than `MAX_DELAY_S`."""
        while self.recent and self.recent[0][0] <= now - MAX_DELAY_S:
            _, number = self.recent.popleft()
            self.seen.discard(number)
            self.highest_expired = max(self.highest_expired, number)

    def check_and_record(
        self, number: int, now: float, in_order: bool
    ) -> MessageRefusal | None:
        """Record a number, or return why its message is refused."""
        if number in self.seen:
            return MessageRefusal("doubled", f"number {number} was received before")
        if number <= self.highest_expired:
            return MessageRefusal(
                "backwards",
                f"number {number} arrived too long after {self.highest_expired}",
            )
        if in_order and number < self.last_in_order:
            detail = f"number {number} arrived after {self.last_in_order}"
            return MessageRefusal("overtaken", detail)
        self.seen.add(number)
        self.recent.append((now, number))
        if in_order:
            self.last_in_order = number
        return None


class MessageOrder:
    """Tracks the sequence numbers of the messages of other VMs."""

    def __init__(self) -> None:
        self.incarnations_by_vm: dict[str, dict[str, IncarnationNumbers]] = {}

    def is_restart(self, sender: Sender) -> bool:
        """Return whether a known VM sends its first message of a new incarnation."""
        numbers_by_incarnation = self.incarnations_by_vm.get(sender.vm, {})
        return (
            bool(numbers_by_incarnation)
            and sender.incarnation not in numbers_by_incarnation
        )

    def check_and_record(
        self, sender: Sender, now: float, in_order: bool = False
    ) -> MessageRefusal | None:
        """Record the number of a message, or return why the message is refused.

        Parameters
        ----------
        now
            Monotonic time in seconds.
        in_order
            Whether later messages of this type supersede it, so that it is refused
            after one of them.
        """
        numbers_by_incarnation = self.incarnations_by_vm.get(sender.vm)
        if numbers_by_incarnation is None:
            numbers_by_incarnation = insert_bounded(
                self.incarnations_by_vm, sender.vm, {}, MAX_VMS
            )
        for numbers in numbers_by_incarnation.values():
            numbers.expire_old(now)
        numbers = numbers_by_incarnation.get(sender.incarnation)
        if numbers is None:
            numbers = insert_bounded(
                numbers_by_incarnation,
                sender.incarnation,
                IncarnationNumbers(),
                MAX_INCARNATIONS,
            )
        if in_order and numbers is not next(reversed(numbers_by_incarnation.values())):
            return MessageRefusal(
                "former_start", "a message of a later incarnation was received before"
            )
        return numbers.check_and_record(sender.number, now, in_order)


def insert_bounded(items: dict[str, Item], name: str, item: Item, limit: int) -> Item:
    """Insert an item, and delete the oldest one when the limit is reached."""
    if len(items) >= limit:
        del items[next(iter(items))]
    items[name] = item
    return item
