"""The requests of one workspace that all VMs have admitted within the last window."""

from collections import deque
from math import floor, sqrt
from typing import NamedTuple

from primroseturn.limits.models import Workspace

# Length of the slots by which admitted requests are counted.
SLOT_S = 0.1
# Time over which the requests that leave the window next are averaged.
EXPIRY_S = 1.0
# Bound of the requests per second that replace expiring ones, as a multiple of the even
# rate. It spreads a burst out instead of repeating it in each window.
MAX_EXPIRY_FACTOR = 3.0
# Time in which the room in the window is spent. VMs learn of a partition after 1.2 s.
# With 2 s, two halves spend about half of the room each before they know, and VMs that
# know of each other's admissions after some tenths of a second do not overshoot.
SPEND_S = 2.0
# Part of the slack up to which room is spent within `PROMPT_S`. A workspace of a few
# requests per second sends several at once while it stays within its limit, and two
# halves of a fleet that both spend so much exceed the limit by less than the slack.
PROMPT_SLACK_PART = 0.25
PROMPT_S = 1.0
# The number admitted in a window scatters about the limit. Its standard deviation in
# simulations of 98 VMs is below the square root of the limit; what twice that exceeds
# the tolerances by is kept as a margin, at most this part of the limit.
SCATTER_FACTOR = 2.0
MAX_MARGIN = 0.5


class QuotaTerms(NamedTuple):
    """How the limits of workspaces are measured.

    Attributes
    ----------
    window_s
        Length in seconds of the windows, in each of which a workspace may get its rate
        times the length, and its burst.
    overage, slack
        Part of that number, and requests, by which imprecision may exceed it. They are
        not handed out.
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0

    def limit(self, workspace: Workspace) -> float:
        """Return the requests of a workspace that all VMs admit in a window."""
        limit = workspace.rate * self.window_s + workspace.burst
        tolerance = self.overage * limit + self.slack
        margin = SCATTER_FACTOR * sqrt(limit) - tolerance
        return limit - min(MAX_MARGIN * limit, max(0.0, margin))


class Slot:
    """Requests that were admitted within `SLOT_S`.

    Attributes
    ----------
    index
        Start of the slot, in multiples of `SLOT_S`.
    fraction
        Part of the limit that belonged to the VMs whose admissions are counted.
    """

    __slots__ = ("count", "fraction", "index")

    def __init__(self, index: int, count: float, fraction: float) -> None:
        self.index = index
        self.count = count
        self.fraction = fraction


class AdmissionWindow:
    """The admitted requests of the last window, as this VM knows them.

    Attributes
    ----------
    fraction
        Part of the limit that belongs to the VMs within reach of this one.
    prompt_room
        Room that is spent within `PROMPT_S`.
    first_counted
        Index of the first slot whose requests were counted and not assumed.
    """

    def __init__(self, terms: QuotaTerms, limit: float, now: float) -> None:
        self.window_s = window_s = terms.window_s
        self.prompt_room = PROMPT_SLACK_PART * terms.slack
        self.limit = limit
        self.fraction = 1.0
        last = floor(now / SLOT_S)
        # This VM does not know what the others admitted before it began to count, and
        # assumes the whole limit.
        assumed = limit * SLOT_S / window_s
        self.first_counted = last
        first = last - floor(window_s / SLOT_S)
        self.slots = deque(Slot(index, assumed, 1.0) for index in range(first, last))
        self.slots.append(Slot(last, 0.0, 1.0))

    def advance(self, now: float) -> None:
        """Add the slots up to `now`, and drop those that have left the window."""
        last = floor(now / SLOT_S)
        first = floor((now - self.window_s) / SLOT_S)
        index = max(first, self.slots[-1].index + 1)
        while index <= last:
            self.slots.append(Slot(index, 0.0, self.fraction))
            index += 1
        while self.slots[0].index < first:
            self.slots.popleft()

    def add(self, count: float, now: float) -> None:
        """Add admitted requests."""
        self.advance(now)
        self.slots[-1].count += count

    def add_spread(self, count: float, seconds: float, now: float) -> None:
        """Add requests that were admitted within the last seconds, evenly."""
        self.advance(now)
        first = floor((now - seconds) / SLOT_S)
        slots = [slot for slot in self.slots if slot.index > first]
        for slot in slots:
            slot.count += count / len(slots)

    def set_fraction(self, fraction: float, since: float, now: float) -> None:
        """Set the part of the limit that belongs to the reachable VMs.

        Parameters
        ----------
        since
            Monotonic time in seconds from which VMs that have become unreachable were
            not counted.
        """
        self.advance(now)
        if fraction < self.fraction:
            last_counted = floor(max(since, now - self.window_s) / SLOT_S)
            first = max(self.first_counted, last_counted + 1)
            for slot in self.slots:
                if slot.index >= first:
                    slot.fraction = min(slot.fraction, fraction)
        self.fraction = fraction
        self.slots[-1].fraction = min(self.slots[-1].fraction, fraction)

    def used(self, slot: Slot) -> float:
        """Return the requests in a slot that the reachable VMs' part is used up by.

        Of requests that were counted while more VMs were reachable, the present ones
        bear their part. VMs that were unreachable then and are reachable now are
        assumed to have used their whole part.
        """
        if slot.fraction >= self.fraction:
            return slot.count * self.fraction / slot.fraction
        assumed_per_s = (self.fraction - slot.fraction) * self.limit / self.window_s
        return slot.count + assumed_per_s * SLOT_S

    def admissible_per_s(self, now: float, unreported: float = 0.0) -> float:
        """Return how many requests per second the reachable VMs may admit now.

        Parameters
        ----------
        unreported
            Requests that other VMs may have admitted and not reported, beyond those of
            a steady demand.
        """
        self.advance(now)
        limit = self.limit * self.fraction
        start = now - self.window_s
        total = expiring = 0.0
        for slot in self.slots:
            used = self.used(slot)
            slot_start = slot.index * SLOT_S
            inside = min(1.0, (slot_start + SLOT_S - start) / SLOT_S)
            total += used * inside
            next_part = (start + EXPIRY_S - slot_start) / SLOT_S
            expiring += used * max(0.0, min(inside, next_part))
        expiring = min(expiring / EXPIRY_S, MAX_EXPIRY_FACTOR * limit / self.window_s)
        room = limit - total - unreported
        return max(
            0.0, expiring + room / SPEND_S + min(room, self.prompt_room) / PROMPT_S
        )

    def room(self, now: float) -> float:
        """Return how many requests the reachable VMs may still admit."""
        self.advance(now)
        start = now - self.window_s
        return self.limit * self.fraction - sum(
            self.used(slot) * min(1.0, (slot.index + 1) - start / SLOT_S)
            for slot in self.slots
        )
