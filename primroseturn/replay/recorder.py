"""Writes a trace of a running daemon that replay accepts."""

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import BinaryIO

from anyio import current_time
from msgspec.json import encode

from primroseturn.configuration.state import ConfigurationState
from primroseturn.detection.observations import Observation
from primroseturn.kernel.background import contain_errors
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.membership.listing import Listing
from primroseturn.observation.events import EventLog
from primroseturn.replay.trace import (
    Arrival,
    Exchange,
    Fleet,
    Line,
    RouteLine,
    ServiceLine,
)
from primroseturn.routing.dispatcher import Demand

RECORD_LIMIT_S = 86_400.0
# Latency that replay gives to requests without a recorded exchange near them.
UNKNOWN_MEDIAN_S = 0.02


class Recorder:
    """Writes lines in the order in which they become known.

    Requests go on without the trace if its file takes no more.
    """

    def __init__(self, stream: BinaryIO, listing: Listing, events: EventLog) -> None:
        self.stream = stream
        self.events = events
        self.listing = listing
        self.started_at = current_time()
        self.services: set[str] = set()
        self.routes: set[tuple[str, str]] = set()
        self.state: ConfigurationState | None = None
        # The length is not known yet, so replay stops after the last line.
        self.write(Fleet(1, RECORD_LIMIT_S, vms=1, ends_with_lines=True))

    def write(self, line: Line) -> None:
        """Append a line."""
        with contain_errors(self.events, "Recorder.write"):
            self.stream.write(encode(line) + b"\n")

    def describe(self, service: str, demand: Demand) -> None:
        """Write the service and the route before their first use."""
        if service not in self.services and self.state is not None:
            self.services.add(service)
            targets = self.listing.targets_by_service.get(service, {})
            names = sorted(targets)
            configured = self.state.services_by_name.get(service)
            slots = configured.slots_per_target if configured else 1
            count = max(1, len(names))
            self.write(
                ServiceLine(service, count, slots, UNKNOWN_MEDIAN_S, names=names)
            )
        route = (service, demand.route_class)
        if route not in self.routes:
            self.routes.add(route)
            self.write(RouteLine(*route, demand.repeatable, demand.download))

    def record_demand(self, demand: Demand) -> None:
        """Write the arrival of a request."""
        self.describe(demand.service, demand)
        if demand.excluded:
            # A retry is decided again by the replay.
            return
        at_s = current_time() - self.started_at
        self.write(
            Arrival(
                at_s,
                demand.workspace,
                demand.service,
                demand.route_class,
                demand.share,
            )
        )

    def record_observation(self, seen: Observation) -> None:
        """Write the end of an exchange."""
        self.write(
            Exchange(
                seen.at - seen.latency_s - self.started_at,
                seen.service,
                seen.target,
                seen.route_class,
                seen.outcome.value,
                seen.latency_s,
            )
        )


@contextmanager
def open_record(path: str, events: EventLog) -> Iterator[BinaryIO]:
    """Yield the buffered trace file, replaced at each start."""
    stream = open(path, "wb")  # noqa: SIM115 - closing may fail, too
    try:
        yield stream
    finally:
        with contain_errors(events, "Recorder.close"):
            stream.close()


@service("recorder", needs=("settings", "events", "dispatcher", "replica", "listing"))
@asynccontextmanager
async def provide_recorder(kernel: Kernel) -> AsyncIterator[Recorder | None]:
    """Record a trace if the settings name a file."""
    path = kernel.find("settings").logs.record_file
    if path is None:
        yield None
        return
    dispatcher = kernel.find("dispatcher")
    events = kernel.find("events")
    with open_record(path, events) as stream:
        recorder = Recorder(stream, kernel.find("listing"), events)
        replica = kernel.find("replica")
        recorder.state = replica.state

        def follow(state: ConfigurationState) -> None:
            recorder.state = state

        replica.subscribe(follow)
        dispatcher.recorder = recorder
        yield recorder
        dispatcher.recorder = None
