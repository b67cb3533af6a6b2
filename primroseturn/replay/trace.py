"""Format of traces: JSON lines, described in docs/traces.md."""

from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple

from expression import Error, Ok, Result
from msgspec import field, Meta, MsgspecError, Struct
from msgspec.json import Decoder

from primroseturn.failures import Failure

MAX_LINE_BYTES = 65_536

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1, le=100_000)]
Name = Annotated[str, Meta(min_length=1, max_length=120)]


class TraceInvalid(Failure):
    """A trace file cannot be read or has an invalid line."""

    code = "trace-invalid"

    def __init__(self, path: Path, line: int, reason: str) -> None:
        super().__init__(f"{path}:{line}: {reason}")
        self.path = path
        self.line = line


class TraceLine(
    Struct, tag_field="kind", forbid_unknown_fields=True, omit_defaults=True
):
    """Base of all lines of a trace."""


class Fleet(TraceLine, tag="fleet"):
    """The entry VMs and the preset. Must be the first line.

    Attributes
    ----------
    ends_with_lines
        Whether the replay ends with the last recorded line instead of `duration_s`.
    """

    seed: int
    duration_s: Annotated[float, Meta(gt=0, le=86_400)]
    vms: Annotated[int, Meta(ge=1, le=1000)] = 40
    regions: Annotated[int, Meta(ge=1, le=16)] = 2
    data_centers_per_region: Annotated[int, Meta(ge=1, le=16)] = 2
    profile: Literal["fast", "careful"] = "fast"
    floor: Share = 0.6
    retry_ratio: Share = 0.1
    queue_limit: Annotated[int, Meta(ge=0)] = 200
    ends_with_lines: bool = False


class ServiceLine(TraceLine, tag="service"):
    """A service, its targets and their healthy responses.

    Attributes
    ----------
    median_s, sigma
        Parameters of the lognormal latency.
    tail_share, tail_factor
        Share of responses that take `tail_factor` times as long as drawn.
    waiting
        Requests that may wait for a slot of a target before it sheds.
    names
        Names of recorded targets; by default the service's name and a number.
    """

    name: Name
    targets: Count
    slots: Count
    median_s: Positive
    sigma: NotNegative = 0.8
    failed_share: Share = 0.001
    tail_share: Share = 0.005
    tail_factor: Positive = 10.0
    waiting: Annotated[int, Meta(ge=0)] = 24
    names: list[Name] = field(default_factory=list)

    def target_names(self) -> list[str]:
        """Return the names of the targets."""
        return self.names or [f"{self.name}-{n}" for n in range(self.targets)]


class RouteLine(TraceLine, tag="route"):
    """A route class of a service."""

    service: Name
    route_class: Name
    repeatable: bool = True
    download: bool = False
    deadline_s: Positive = 2.0


class Arrivals(TraceLine, tag="arrivals"):
    """Sets a workspace's rate in requests/s over all VMs, from `at_s` on."""

    at_s: NotNegative
    workspace: Name
    service: Name
    route_class: Name
    rate: NotNegative
    share: Positive = 1.0


class Arrival(TraceLine, tag="arrival"):
    """One recorded request."""

    at_s: NotNegative
    workspace: Name
    service: Name
    route_class: Name
    share: Positive = 1.0


class Exchange(TraceLine, tag="exchange"):
    """One recorded exchange.

    In a replay, requests of its route class that reach the target up to 1 s earlier
    end in the same way.
    """

    at_s: NotNegative
    service: Name
    target: Name
    route_class: Name
    outcome: Literal["ok", "error", "reset", "stall", "cut", "shed", "timeout"]
    latency_s: NotNegative


class Behaviour(TraceLine, tag="behaviour"):
    """Sets the behaviour of targets from `at_s` on; the defaults are healthy.

    Attributes
    ----------
    targets
        Names such as ``search-3``; empty for all targets of the service.
    route_class
        The only route class that is affected; empty for all.
    slow
        Factor on the latency.
    failed_share, silent_share
        Shares of requests that fail and that get no response.
    cold_s
        Time over which the factor `slow` falls back to 1; with 0 it doesn't.
    """

    at_s: NotNegative
    service: Name
    targets: list[Name] = field(default_factory=list)
    route_class: str = ""
    slow: Positive = 1.0
    failed_share: Share = 0.0
    silent_share: Share = 0.0
    cold_s: NotNegative = 0.0


class ListingLine(TraceLine, tag="listing"):
    """Targets change their state in the VM list, which VMs receive within `lag_s`."""

    at_s: NotNegative
    service: Name
    targets: list[Name]
    state: Literal["live", "leaving", "gone"]
    lag_s: NotNegative = 1.0


class StoreLine(TraceLine, tag="store"):
    """The store becomes available or not; changes of lists wait while it isn't."""

    at_s: NotNegative
    available: bool


class NetworkLine(TraceLine, tag="network"):
    """Faults of the control network and of single VMs' paths to targets.

    Attributes
    ----------
    loss_share
        Share of the digests that are lost.
    deaf_vms
        VMs that receive no digests while theirs arrive elsewhere (one-way partition).
    blind_vms
        VMs whose exchanges with all targets get no response.
    """

    at_s: NotNegative
    loss_share: Share = 0.0
    deaf_vms: list[Name] = field(default_factory=list)
    blind_vms: list[Name] = field(default_factory=list)


class LoadLine(TraceLine, tag="load"):
    """Targets report their load every `every_s`; a report is `lag_s` old."""

    at_s: NotNegative
    every_s: Positive = 1.0
    lag_s: NotNegative = 0.0


Measure = Literal[
    "detection_s",
    "ejections",
    "false_ejections",
    "worst_workspace_ratio",
    "added_load",
    "served_share",
    "floor_breaches",
]


class Expect(TraceLine, tag="expect"):
    """A stated outcome: bounds of a value that a replay of the trace measures.

    Attributes
    ----------
    most, least
        Bounds of the measured value.
    target, route_class, since_s
        Target and class whose ejection `detection_s` measures, and the time from which
        it is measured; an empty class stands for all classes.
    neighbour
        Workspace that `worst_workspace_ratio` leaves out.
    """

    measure: Measure
    most: float | None = None
    least: float | None = None
    target: str = ""
    service: str = ""
    route_class: str = ""
    since_s: float = 0.0
    neighbour: str = ""


Line = (
    Fleet
    | ServiceLine
    | RouteLine
    | Arrivals
    | Arrival
    | Exchange
    | Behaviour
    | ListingLine
    | StoreLine
    | NetworkLine
    | LoadLine
    | Expect
)
EVENT_TYPES = (Arrivals, Behaviour, ListingLine, StoreLine, NetworkLine, LoadLine)


class Trace(NamedTuple):
    """The lines of a trace by kind; events, arrivals and exchanges ordered by time."""

    name: str
    fleet: Fleet
    services_by_name: dict[str, ServiceLine]
    routes_by_key: dict[tuple[str, str], RouteLine]
    events: list[Any]
    arrivals: list[Arrival]
    exchanges: list[Exchange]
    expectations: list[Expect]


def replay_end_s(trace: Trace) -> float:
    """Return the time at which a replay ends, in seconds since its start."""
    if not trace.fleet.ends_with_lines:
        return trace.fleet.duration_s
    ends = [line.at_s + line.latency_s for line in trace.exchanges]
    ends += [line.at_s for line in trace.arrivals]
    return min(max(ends, default=0.0) + 1.0, trace.fleet.duration_s)


def load_trace(path: Path) -> Result[Trace, TraceInvalid]:
    """Read a trace file."""
    decoder = Decoder(Line)
    lines: list[Any] = []
    try:
        with path.open("rb") as stream:
            for number, raw in enumerate(stream, 1):
                if not raw.strip():
                    continue
                if len(raw) > MAX_LINE_BYTES:
                    return Error(TraceInvalid(path, number, "the line is too long"))
                try:
                    lines.append(decoder.decode(raw))
                except (MsgspecError, UnicodeDecodeError, RecursionError) as error:
                    return Error(TraceInvalid(path, number, str(error)))
    except OSError as error:
        return Error(TraceInvalid(path, 0, error.strerror or str(error)))
    reason = find_inconsistency(lines)
    if reason:
        return Error(TraceInvalid(path, len(lines), reason))
    return Ok(build_trace(path.stem, lines))


def find_inconsistency(lines: list[Any]) -> str:
    """Return why the lines together are no valid trace, or an empty string."""
    if not lines or not isinstance(lines[0], Fleet):
        return "the first line must be of kind 'fleet'"
    if sum(isinstance(line, Fleet) for line in lines) > 1:
        return "only one line may be of kind 'fleet'"
    services = {line.name for line in lines if isinstance(line, ServiceLine)}
    routes = {
        (line.service, line.route_class)
        for line in lines
        if isinstance(line, RouteLine)
    }
    for line in lines:
        service = getattr(line, "service", "")
        if service and service not in services:
            return f"no line of kind 'service' names {service!r}"
        if isinstance(line, Arrivals | Arrival | Exchange):
            route = (line.service, line.route_class)
            if route not in routes:
                return f"no line of kind 'route' names {'/'.join(route)}"
    return ""


def build_trace(name: str, lines: list[Any]) -> Trace:
    """Return the trace with the given lines, which must be free of inconsistencies."""

    def lines_of(*kinds: type) -> list[Any]:
        return [line for line in lines if isinstance(line, kinds)]

    return Trace(
        name,
        lines[0],
        {line.name: line for line in lines_of(ServiceLine)},
        {(line.service, line.route_class): line for line in lines_of(RouteLine)},
        sorted(lines_of(*EVENT_TYPES), key=lambda line: line.at_s),
        sorted(lines_of(Arrival), key=lambda line: line.at_s),
        sorted(lines_of(Exchange), key=lambda line: line.at_s),
        lines_of(Expect),
    )
