"""Records the requests and exchanges of a running daemon as a trace for replays."""

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
from primroseturn.routing.dispatcher import SlotRequest

MAX_RECORDING_S = 86_400.0
# Median latency of replayed requests for which no recorded exchange is found.
UNKNOWN_MEDIAN_S = 0.02


class Recorder:
    """Writes the lines of a trace in the order of their events.

    An error of the trace file is logged and affects no request.
    """

    def __init__(self, stream: BinaryIO, listing: Listing, events: EventLog) -> None:
        self.stream = stream
        self.events = events
        self.listing = listing
        self.started_at = current_time()
        self.written_services: set[str] = set()
        self.written_routes: set[tuple[str, str]] = set()
        self.state: ConfigurationState | None = None
        # The duration is not known yet, so a replay ends after the last line.
        self.write(Fleet(1, MAX_RECORDING_S, vms=1, ends_with_lines=True))

    def write(self, line: Line) -> None:
        """Append a line."""
        with contain_errors(self.events, "Recorder.write"):
            self.stream.write(encode(line) + b"\n")

    def write_definitions(self, service: str, slot_request: SlotRequest) -> None:
        """Write the lines of a service and a route before their first request."""
        if service not in self.written_services and self.state is not None:
            self.written_services.add(service)
            targets = self.listing.targets_by_service.get(service, {})
            names = sorted(targets)
            configured = self.state.services_by_name.get(service)
            slots = configured.slots_per_target if configured else 1
            count = max(1, len(names))
            self.write(
                ServiceLine(service, count, slots, UNKNOWN_MEDIAN_S, names=names)
            )
        route = (service, slot_request.route_class)
        if route not in self.written_routes:
            self.written_routes.add(route)
            self.write(
                RouteLine(*route, slot_request.repeatable, slot_request.download)
            )

    def record_slot_request(self, slot_request: SlotRequest) -> None:
        """Write the arrival of a request."""
        self.write_definitions(slot_request.service, slot_request)
        if slot_request.excluded:
            # It is a retry or a hedge. The replay decides itself whether to retry.
            return
        at_s = current_time() - self.started_at
        self.write(
            Arrival(
                at_s,
                slot_request.workspace,
                slot_request.service,
                slot_request.route_class,
                slot_request.weight,
            )
        )

    def record_observation(self, observation: Observation) -> None:
        """Write the end of an exchange."""
        self.write(
            Exchange(
                observation.at - observation.latency_s - self.started_at,
                observation.service,
                observation.target,
                observation.route_class,
                observation.outcome.value,
                observation.latency_s,
            )
        )


@contextmanager
def open_record(path: str, events: EventLog) -> Iterator[BinaryIO]:
    """Yield the buffered trace file, which each start of the daemon overwrites."""
    stream = open(path, "wb")  # noqa: SIM115 - an error while closing is contained
    try:
        yield stream
    finally:
        with contain_errors(events, "Recorder.close"):
            stream.close()


@service("recorder", needs=("settings", "events", "dispatcher", "replica", "listing"))
@asynccontextmanager
async def provide_recorder(kernel: Kernel) -> AsyncIterator[Recorder | None]:
    """Record a trace if the settings name a file for it."""
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

        def update_state(state: ConfigurationState) -> None:
            recorder.state = state

        replica.subscribe(update_state)
        dispatcher.recorder = recorder
        yield recorder
        dispatcher.recorder = None
