"""Generates the shipped traces for both organisations in `SIZES`."""

from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from msgspec.json import encode

from primroseturn.replay.trace import (
    Arrivals,
    Behaviour,
    Expect,
    Fleet,
    Line,
    ListingLine,
    LoadLine,
    NetworkLine,
    RouteLine,
    ServiceLine,
    StoreLine,
)

FAULT_AT_S = 3.0
DURATION_S = 7.0
# Shares of a service's requests that the 8 workspaces send; a few are large.
WORKSPACE_SHARES = (0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05)
MAX_DETECTION_S = 1.0
MAX_WORKSPACE_RATIO = 1.5
VMS = 40
DATA_CENTERS = 4


class Size(NamedTuple):
    """One organisation's services and load.

    Attributes
    ----------
    rate
        Requests/s of the main service, about half of the capacity of its slots.
    classes
        Route classes of the main service and their shares of the requests. Requests
        of the last class are at-most-once.
    archive
        Name of the service that serves downloads.
    """

    name: str
    service: str
    targets: int
    slots: int
    rate: float
    classes: tuple[tuple[str, float], ...]
    archive: str
    archive_targets: int
    archive_rate: float


SIZES = (
    Size(
        "kokjar",
        "search",
        25,
        6,
        3000.0,
        (("lookup", 0.6), ("detail", 0.35), ("order", 0.05)),
        "documents",
        8,
        60.0,
    ),
    Size(
        "armor",
        "underwriting",
        28,
        3,
        1700.0,
        (("status", 0.6), ("quote", 0.35), ("issue", 0.05)),
        "certificates",
        8,
        30.0,
    ),
)

Scenario = Callable[[Size], list[Line]]
scenarios_by_name: dict[str, Scenario] = {}


def scenario(name: str) -> Callable[[Scenario], Scenario]:
    """Return a decorator that registers a function under the name of a trace.

    The function returns the trace's events and stated outcomes.
    """

    def register(function: Scenario) -> Scenario:
        scenarios_by_name[name] = function
        return function

    return register


def arrivals(size: Size, at_s: float, workspace: int, factor: float) -> list[Line]:
    """Return the load of a workspace on the main service, times a factor."""
    rate = size.rate * WORKSPACE_SHARES[workspace] * factor
    return [
        Arrivals(at_s, f"w{workspace + 1}", size.service, name, round(rate * weight, 3))
        for name, weight in size.classes
    ]


def base_lines(size: Size, seed: int, duration_s: float, **fleet: Any) -> list[Line]:
    """Return the fleet, services, routes and healthy load of a size."""
    lines: list[Line] = [Fleet(seed, duration_s, **fleet)]
    lines.append(ServiceLine(size.service, size.targets, size.slots, 0.018))
    lines.append(
        ServiceLine(size.archive, size.archive_targets, size.slots, 0.3, waiting=40)
    )
    for number, (name, _) in enumerate(size.classes):
        repeatable = number < len(size.classes) - 1
        lines.append(RouteLine(size.service, name, repeatable))
    lines.append(RouteLine(size.archive, "download", True, True, 30.0))
    for workspace, share in enumerate(WORKSPACE_SHARES):
        lines += arrivals(size, 0.0, workspace, 1.0)
        rate = round(size.archive_rate * share, 3)
        lines.append(Arrivals(0.0, f"w{workspace + 1}", size.archive, "download", rate))
    return lines


def one_center(size: Size) -> Size:
    """Return the size of one of the four data centres of an organisation."""
    targets = -(-size.targets // DATA_CENTERS)
    return size._replace(
        targets=targets,
        rate=size.rate * targets / size.targets,
        archive_targets=size.archive_targets // DATA_CENTERS,
        archive_rate=size.archive_rate / DATA_CENTERS,
    )


def target_name(size: Size, number: int) -> str:
    """Return the name of a target; numbers above the last one wrap around."""
    return f"{size.service}-{number % size.targets}"


def expect_detection(size: Size, number: int, route_class: str = "") -> Expect:
    """Return the bound on the detection time of a target's fault at `FAULT_AT_S`."""
    return Expect(
        "detection_s",
        most=MAX_DETECTION_S,
        target=target_name(size, number),
        route_class=route_class,
        since_s=FAULT_AT_S,
    )


NO_FALSE_EJECTION = Expect("false_ejections", most=0)
FLOOR_KEPT = Expect("floor_breaches", most=0)


def change_behaviour(size: Size, targets: list[int], **behaviour: Any) -> Behaviour:
    """Return a change of behaviour at `FAULT_AT_S`."""
    names = [target_name(size, number) for number in targets]
    return Behaviour(FAULT_AT_S, size.service, names, **behaviour)


@scenario("healthy")
def healthy(size: Size) -> list[Line]:
    """Heavy-tailed latencies without any fault."""
    return [NO_FALSE_EJECTION, Expect("served_share", least=0.999)]


@scenario("slow-target")
def slow_target(size: Size) -> list[Line]:
    """One target becomes ten times slower."""
    fault = change_behaviour(size, [5], slow=10.0)
    return [fault, expect_detection(size, 5), NO_FALSE_EJECTION, FLOOR_KEPT]


@scenario("partial-errors")
def partial_errors(size: Size) -> list[Line]:
    """One target responds to 30% of its requests with an error."""
    fault = change_behaviour(size, [6], failed_share=0.3)
    return [fault, expect_detection(size, 6), NO_FALSE_EJECTION, FLOOR_KEPT]


@scenario("one-class")
def one_class(size: Size) -> list[Line]:
    """One target fails for its second route class only."""
    name = size.classes[1][0]
    return [
        change_behaviour(size, [7], route_class=name, failed_share=1.0),
        expect_detection(size, 7, name),
        NO_FALSE_EJECTION,
        FLOOR_KEPT,
    ]


@scenario("service-slow")
def service_slow(size: Size) -> list[Line]:
    """The whole service becomes three times slower; no target is ejected."""
    return [change_behaviour(size, [], slow=3.0), Expect("ejections", most=0)]


@scenario("full-outage")
def full_outage(size: Size) -> list[Line]:
    """Every request of the service fails; retries stay within 10%."""
    return [
        change_behaviour(size, [], failed_share=1.0),
        Expect("added_load", most=0.1),
        FLOOR_KEPT,
    ]


@scenario("flapping")
def flapping(size: Size) -> list[Line]:
    """A target fails and recovers repeatedly."""
    lines: list[Line] = []
    name = target_name(size, 8)
    for cycle in range(3):
        at_s = FAULT_AT_S + 3.0 * cycle
        lines.append(Behaviour(at_s, size.service, [name], failed_share=0.5))
        lines.append(Behaviour(at_s + 1.5, size.service, [name]))
    return [*lines, Expect("served_share", least=0.995), FLOOR_KEPT]


@scenario("one-way-partition")
def one_way_partition(size: Size) -> list[Line]:
    """One VM gets no responses and two get no digests; no target is ejected for it."""
    fault = NetworkLine(FAULT_AT_S, deaf_vms=["vm4", "vm5"], blind_vms=["vm8"])
    return [fault, NO_FALSE_EJECTION, FLOOR_KEPT]


@scenario("cold-start")
def cold_start(size: Size) -> list[Line]:
    """Five new targets start cold under load; their load grows gradually."""
    names = [f"{size.service}-{number}" for number in range(5)]
    return [
        ListingLine(0.0, size.service, names, "gone"),
        ListingLine(FAULT_AT_S, size.service, names, "live"),
        change_behaviour(size, [0, 1, 2, 3, 4], slow=8.0, cold_s=3.0),
        NO_FALSE_EJECTION,
        Expect("served_share", least=0.999),
    ]


@scenario("noisy-workspace")
def noisy_workspace(size: Size) -> list[Line]:
    """One workspace sends 8 times its rate; the others are hardly slower."""
    return [
        *arrivals(size, FAULT_AT_S, 3, 8.0),
        Expect("worst_workspace_ratio", most=MAX_WORKSPACE_RATIO, neighbour="w4"),
        NO_FALSE_EJECTION,
    ]


@scenario("lagging-load")
def lagging_load(size: Size) -> list[Line]:
    """Reported loads are 5 s old and one target is slow."""
    return [
        LoadLine(0.5, 0.5, 5.0),
        change_behaviour(size, [9], slow=10.0),
        expect_detection(size, 9),
        NO_FALSE_EJECTION,
    ]


@scenario("rack-lost")
def rack_lost(size: Size) -> list[Line]:
    """Four targets become unresponsive at once; the list drops them 2 s later."""
    numbers = [4, 8, 12, 16]
    names = [f"{size.service}-{number}" for number in numbers]
    return [
        change_behaviour(size, numbers, silent_share=1.0),
        ListingLine(FAULT_AT_S + 2.0, size.service, names, "gone"),
        NO_FALSE_EJECTION,
        FLOOR_KEPT,
        Expect("served_share", least=0.98),
    ]


@scenario("slow-and-noisy")
def slow_and_noisy(size: Size) -> list[Line]:
    """A slow target, a noisy workspace, a store outage and lost digests at once."""
    return [
        StoreLine(FAULT_AT_S - 0.5, False),
        NetworkLine(FAULT_AT_S - 0.5, loss_share=0.2),
        ListingLine(FAULT_AT_S, size.service, [f"{size.service}-1"], "gone"),
        change_behaviour(size, [10], slow=10.0),
        *arrivals(size, FAULT_AT_S, 5, 8.0),
        StoreLine(FAULT_AT_S + 2.0, True),
        expect_detection(size, 10),
        Expect("worst_workspace_ratio", most=MAX_WORKSPACE_RATIO, neighbour="w6"),
        NO_FALSE_EJECTION,
    ]


DURATIONS_BY_NAME = {
    "flapping": 14.0,
    "cold-start": 9.0,
    "noisy-workspace": 12.0,
    "slow-and-noisy": 12.0,
}


def trace_lines(name: str, size: Size, seed: int, **fleet: Any) -> list[Line]:
    """Return the lines of the trace with a name at a size."""
    duration_s = DURATIONS_BY_NAME.get(name, DURATION_S)
    lines = base_lines(size, seed, duration_s, **fleet)
    return lines + scenarios_by_name[name](size)


def center_lines(name: str, size: Size, seed: int, **fleet: Any) -> list[Line]:
    """Return the lines of the trace with a name for one data centre of a size."""
    options = {"vms": VMS // DATA_CENTERS, "regions": 1, "data_centers_per_region": 1}
    return trace_lines(name, one_center(size), seed, **options, **fleet)


def write_trace(path: Path, lines: list[Line]) -> None:
    """Write a trace file."""
    path.write_bytes(b"".join(encode(line) + b"\n" for line in lines))


def write_traces(directory: Path) -> list[Path]:
    """Write all shipped traces and return their paths."""
    paths = []
    for size in SIZES:
        for seed, name in enumerate(scenarios_by_name, 1):
            path = directory / f"{size.name}-{name}.jsonl"
            write_trace(path, trace_lines(name, size, seed))
            paths.append(path)
    return paths
