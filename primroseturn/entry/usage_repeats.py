"""Repeats the usage in fleet digests, so that a lost datagram loses no count.

The usage of each digest has a number of its own and is repeated in the next digests to
the same receiver. The receiver counts each number once, whichever digest brings it. A
new receiver, such as the next aggregator, gets no repeats: the former one has passed on
what it received.
"""

from collections import deque
from typing import Annotated, NamedTuple

from msgspec import Meta

from primroseturn.control.bus import Sender
from primroseturn.control.order import IncarnationNumbers, insert_bounded
from primroseturn.limits.quota import Usage

# Number of the next digests to the same receiver that repeat the usage of one digest.
REPEATS = 2
# Items of repeated usage in one digest, so that it fits a datagram. The oldest usage is
# repeated first; what exceeds this is not repeated.
MAX_REPEATED_ITEMS = 20
# Senders and starts of them whose numbers are stored.
MAX_SENDERS = 1_000


# A busy aggregator numbers some thousands of digests in a second.
UsageNumber = Annotated[int, Meta(ge=0, le=2**62)]


class NumberedUsage(NamedTuple):
    """The usage of an earlier digest and its number."""

    number: UsageNumber
    usage: tuple[Usage, ...]


class UsageRepeats:
    """The usage that was sent to one receiver lately.

    Attributes
    ----------
    receiver
        Name of the VM.
    waiting
        Usage that is still to be repeated, with the number of repeats.
    """

    def __init__(self) -> None:
        self.receiver = ""
        self.waiting: deque[tuple[int, NumberedUsage]] = deque()

    def take(self, receiver: str) -> tuple[NumberedUsage, ...]:
        """Return the usage to repeat in the next digest to a receiver."""
        if receiver != self.receiver:
            self.receiver = receiver
            self.waiting.clear()
        taken: list[NumberedUsage] = []
        item_count = 0
        kept: deque[tuple[int, NumberedUsage]] = deque()
        for repeats, unit in self.waiting:
            item_count += len(unit.usage)
            if item_count > MAX_REPEATED_ITEMS:
                break
            taken.append(unit)
            if repeats > 1:
                kept.append((repeats - 1, unit))
        self.waiting = kept
        return tuple(taken)

    def add(self, number: int, usage: tuple[Usage, ...]) -> None:
        """Add the usage of a digest that is being sent."""
        self.waiting.append((REPEATS, NumberedUsage(number, usage)))


class UsageNumbers:
    """Numbers of the usage that was received from other VMs."""

    def __init__(self) -> None:
        self.numbers_by_start: dict[str, IncarnationNumbers] = {}

    def is_new(self, sender: Sender, number: int, now: float) -> bool:
        """Return whether usage of a sender was not received before, and record it."""
        start = f"{sender.vm}/{sender.incarnation}"
        numbers = self.numbers_by_start.get(start)
        if numbers is None:
            numbers = insert_bounded(
                self.numbers_by_start, start, IncarnationNumbers(), MAX_SENDERS
            )
        numbers.expire_old(now)
        return numbers.check_and_record(number, now, False) is None

    def collect(
        self,
        sender: Sender,
        usage: tuple[Usage, ...],
        number: int,
        repeated: tuple[NumberedUsage, ...],
        now: float,
    ) -> tuple[Usage, ...]:
        """Return the usage of a digest that was not received before.

        Parameters
        ----------
        usage, number
            The digest's own usage and its number.
        repeated
            Usage of earlier digests.
        """
        units = [NumberedUsage(number, usage), *repeated] if usage else repeated
        return tuple(
            item
            for unit in units
            if self.is_new(sender, unit.number, now)
            for item in unit.usage
        )
