"""Exchanges clock probes with peers, from which timelines find the clock offsets."""

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from itertools import count

from anyio import sleep

from primroseturn.control.bus import Bus, Sender
from primroseturn.control.messages import Message, message
from primroseturn.kernel.background import run_background
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.membership.listing import Listing
from primroseturn.observation.catalogue import (
    CLOCK_PROBE_RECEIVED,
    CLOCK_PROBE_SENT,
)
from primroseturn.observation.events import EventLog

# Each daemon sends one small message per interval, whatever the size of the fleet.
FIRST_PROBE_S = 1.0
PROBE_INTERVAL_S = 10.0


@message("clock-probe")
class ClockProbe(Message, frozen=True, array_like=True):
    """Names a probe, which sender and receiver log with their own clocks."""

    probe: str


def choose_peer(listing: Listing, vm: str, number: int) -> str | None:
    """Return the peer of a probe: alternately the next and the previous VM by name.

    The listed VMs form a ring, in which each VM exchanges probes with both of its
    neighbours. So probes connect all processes after two intervals.

    Parameters
    ----------
    vm
        The VM that sends the probe.
    number
        Number of the probe, counted by the sender.
    """
    ring = sorted(listing.daemons_by_vm)
    if vm not in ring or len(ring) < 2:
        return None
    steps = 1 if number % 2 else len(ring) - 1
    return ring[(ring.index(vm) + steps) % len(ring)]


async def send_probes(
    bus: Bus, listing: Listing, events: EventLog, numbers: Iterator[int]
) -> None:
    """Send one probe per interval until cancelled."""
    await sleep(FIRST_PROBE_S)
    for number in numbers:
        peer = choose_peer(listing, events.vm, number)
        if peer is not None:
            probe = f"{events.vm}-{events.incarnation}-{number}"
            events.emit(CLOCK_PROBE_SENT, probe=probe, peer=peer)
            await bus.send(peer, ClockProbe(probe))
        await sleep(PROBE_INTERVAL_S)


@service("clock-probes", needs=("events", "bus", "listing"))
@asynccontextmanager
async def provide_clock_probes(kernel: Kernel) -> AsyncIterator[None]:
    """Send clock probes to peers and log those that peers send."""
    bus, events = kernel.find("bus"), kernel.find("events")
    # Outlives restarts of the task after errors, so that probe names are unique.
    numbers = count(1)

    async def receive(sender: Sender, body: ClockProbe) -> None:
        events.emit(CLOCK_PROBE_RECEIVED, probe=body.probe, peer=sender.vm)

    bus.register_handler(ClockProbe, receive)
    async with run_background(events) as background:
        background.keep_running(
            send_probes, bus, kernel.find("listing"), events, numbers
        )
        yield
