"""Measures memory, time and stored bytes per item of detection, routing and claims."""

import gc
from collections.abc import Callable
from random import Random
from statistics import median
from time import perf_counter
from tracemalloc import get_traced_memory, start, stop
from typing import Any, NamedTuple

from primroseturn.claims.models import RecordedOutcome
from primroseturn.claims.slots import ClaimEntry, ClaimSlot, decode_slot, encode_slot
from primroseturn.configuration.models import Target
from primroseturn.detection.evidence import Counts, EvidenceKey
from primroseturn.detection.monitor import HealthMonitor
from primroseturn.detection.observations import Observation, Outcome
from primroseturn.detection.profiles import profiles_by_name
from primroseturn.membership.listing import Listing
from primroseturn.routing.assembly import assemble_dispatcher
from primroseturn.routing.subset import Locality

ROUNDS = 5
LOCALITY = Locality("vm1", "dc1", "region1")
OUTCOME_BODY_BYTES = 200


class UnitCost(NamedTuple):
    """A measured cost per item."""

    role: str
    item: str
    value: float
    unit: str


def time_per_call(run: Callable[[], Any], calls: int) -> float:
    """Return the median over `ROUNDS` of the seconds per call.

    Parameters
    ----------
    run
        Function that makes `calls` calls.
    """
    times_s = []
    for _ in range(ROUNDS):
        started = perf_counter()
        run()
        times_s.append((perf_counter() - started) / calls)
    return median(times_s)


def measure_memory(build: Callable[[], Any]) -> float:
    """Return the bytes of memory of the object that `build` returns."""
    gc.collect()
    start()
    before = get_traced_memory()[0]
    built = build()
    gc.collect()
    held_bytes = get_traced_memory()[0] - before
    stop()
    del built
    return held_bytes


def make_target(number: int) -> Target:
    """Return a listed target."""
    center = f"dc{number % 4 + 1}"
    region = f"region{number % 2 + 1}"
    url = f"http://10.0.{number // 250}.{number % 250}:8080"
    return Target(f"target-{number:05d}", "search", url, center, region)


def fill_listing(targets: int) -> Listing:
    """Return a listing with a number of targets of one service."""
    listing = Listing()
    listing.targets_by_service["search"] = {
        item.name: item for item in map(make_target, range(targets))
    }
    return listing


def observe_all(monitor: HealthMonitor, targets: int) -> None:
    """Record one successful exchange with each target in a monitor."""
    for number in range(targets):
        name = f"target-{number:05d}"
        monitor.observe(
            Observation("search", name, "lookup", Outcome.OK, 0.02, 0.02, 1.0, 1.0)
        )


def create_monitor() -> HealthMonitor:
    """Return an empty monitor of the fast profile."""
    return HealthMonitor("vm1", profiles_by_name["fast"], lambda *_: None)


def measure_detection(targets: int) -> list[UnitCost]:
    """Measure the memory per target, and the time per exchange and digest entry."""

    def build() -> HealthMonitor:
        monitor = create_monitor()
        observe_all(monitor, targets)
        return monitor

    monitor = create_monitor()
    own_s = time_per_call(lambda: observe_all(monitor, targets), targets)
    keys = [
        EvidenceKey("search", f"target-{number:05d}", "lookup") for number in range(80)
    ]
    batch = [(key, Counts(1, 0, 0, 0)) for key in keys]
    pooled_s = time_per_call(
        lambda: monitor.add_evidence_batch(batch, "vm2", 1.0), len(batch)
    )
    return [
        UnitCost(
            "detection", "target observed", measure_memory(build) / targets, "bytes"
        ),
        UnitCost("detection", "own exchange", own_s * 1e6, "us"),
        UnitCost("detection", "digest entry of a peer", pooled_s * 1e6, "us"),
    ]


def measure_routing(targets: int) -> list[UnitCost]:
    """Measure a target choice, a recomputed subset and the memory per listed target."""
    listing = fill_listing(targets)
    dispatcher = assemble_dispatcher(
        listing, LOCALITY, profiles_by_name["fast"], 0.6, 1e6, Random(1), 0.0
    )
    balancer = dispatcher.balancer
    started = perf_counter()
    balancer.recompute_subset("search")
    subset_s = perf_counter() - started
    calls = 2000

    def choose() -> None:
        for _ in range(calls):
            balancer.choose("search", "lookup", 1.0)

    listed = measure_memory(lambda: fill_listing(targets)) / targets
    size = f"service of {targets} targets"
    return [
        UnitCost(
            "routing", f"choice, {size}", time_per_call(choose, calls) * 1e6, "us"
        ),
        UnitCost("routing", f"change of the list, {size}", subset_s * 1e3, "ms"),
        UnitCost("routing", "listed target", listed, "bytes"),
    ]


def fill_slot(entries: int) -> ClaimSlot:
    """Return a claim slot with recorded outcomes."""
    outcome = RecordedOutcome(200, "application/json", b"x" * OUTCOME_BODY_BYTES)
    return ClaimSlot(
        "open",
        {
            f"{number:032x}": ClaimEntry(
                f"vm001-0123456789ab-{number}", "0123456789abcdef", number, outcome
            )
            for number in range(entries)
        },
    )


def measure_claims(entries: int) -> list[UnitCost]:
    """Measure a claim's stored size, and the time to encode and decode its slot."""
    slot = fill_slot(entries)
    value = encode_slot(slot)
    write_s = time_per_call(lambda: encode_slot(slot), 1)
    read_s = time_per_call(lambda: decode_slot(value), 1)
    size = f"slot of {entries} claims"
    return [
        UnitCost("claims", "recorded claim", len(value) / entries, "bytes"),
        UnitCost("claims", f"commit to a {size}", write_s * 1e3, "ms"),
        UnitCost("claims", f"first read of a {size}", read_s * 1e3, "ms"),
    ]


def measure_roles() -> list[UnitCost]:
    """Measure detection, routing and claims."""
    costs = measure_detection(2000)
    for targets in (25, 100, 1000):
        costs += measure_routing(targets)
    for entries in (100, 1000, 2000):
        costs += measure_claims(entries)
    return costs
