"""Measures the control plane with all daemons as tasks of one process."""

from random import Random
from sys import getsizeof
from time import perf_counter, process_time
from typing import NamedTuple

from anyio import current_time, fail_after, sleep
from numpy import percentile

from primroseturn.configuration.keys import create_key
from primroseturn.configuration.models import CallerKey, Change, Workspace
from primroseturn.configuration.snapshot import (
    encode_group,
    group_buckets,
    join_parts,
    STORE_PART_BYTES,
)
from primroseturn.configuration.state import (
    apply_change,
    ConfigurationState,
    EMPTY_STATE,
    FIELDS_BY_KIND,
)
from primroseturn.configuration.table import build_table
from primroseturn.kernel.kernel import Kernel
from primroseturn.standins.fleet import ControlFleet, run_control_fleet
from primroseturn.standins.store import StoreFaults

SETTLING_S = 3.0
CONVERGENCE_TIMEOUT_S = 60.0
LOCAL_DELAY_S = 0.001
REGION_DELAY_S = 0.012
CHANGES_PER_S = 5.0


class Convergence(NamedTuple):
    """Seconds from the acceptance of a change until it is in force at a VM."""

    daemons: int
    transport: str
    changes: int
    p50_s: float
    p99_s: float
    max_s: float


class ControlCost(NamedTuple):
    """Cost of the control plane of a fleet in one phase.

    Attributes
    ----------
    cpu_share_per_daemon
        CPU time per second and daemon, with that of the store and network stand-ins.
    """

    daemons: int
    transport: str
    phase: str
    store_calls_per_s: float
    sent_bytes_per_s_per_daemon: float
    received_bytes_per_s_per_daemon: float
    cpu_share_per_daemon: float


class StateCost(NamedTuple):
    """Memory and times of a configuration state with one key per workspace.

    Attributes
    ----------
    packed_mb, held_mb
        Size of the encoded snapshot, and memory of the tables in the process without
        that of decoded objects.
    load_s, change_ms, lookup_us
        Time to load the snapshot, to apply one change and to look up one name.
    """

    workspaces: int
    packed_mb: float
    held_mb: float
    snapshot_parts: int
    largest_part_bytes: int
    load_s: float
    change_ms: float
    lookup_us: float


async def start_fleet(fleet: ControlFleet, daemons: int) -> None:
    """Start daemons with usual network delays, and let them settle."""
    if fleet.network is not None:
        fleet.network.faults.delay_s = LOCAL_DELAY_S
        fleet.network.faults.region_delay_s = REGION_DELAY_S
    await fleet.add_many(daemons)
    await sleep(SETTLING_S)


def add_workspace(fleet: ControlFleet) -> int:
    """Append the creation of a workspace to the change log and return its version."""
    name = f"workspace-{fleet.version}"
    return fleet.configure("workspace", name, {"name": name, "rate": 5, "burst": 10})


async def measure_convergence(
    daemons: int, changes: int, memory: bool, seed: int = 1
) -> Convergence:
    """Measure how long changes take until they are in force at each VM."""
    async with run_control_fleet(seed, memory) as fleet:
        await start_fleet(fleet, daemons)
        written_at_by_version: dict[int, float] = {}
        delays_s: list[float] = []

        def record_delay(state) -> None:
            if state.version in written_at_by_version:
                delays_s.append(current_time() - written_at_by_version[state.version])

        for kernel in fleet.kernels_by_vm.values():
            kernel.find("replica").subscribe(record_delay)
        for _ in range(changes):
            written_at_by_version[fleet.version + 1] = current_time()
            add_workspace(fleet)
            await sleep(fleet.random.uniform(0.5, 1.5) / CHANGES_PER_S)
        with fail_after(CONVERGENCE_TIMEOUT_S):
            while min(fleet.versions().values()) < fleet.version:
                await sleep(0.05)
    p50, p99 = percentile(delays_s, [50, 99])
    transport = "memory" if memory else "tcp"
    return Convergence(
        daemons, transport, changes, float(p50), float(p99), max(delays_s)
    )


def count_bytes(kernels: list[Kernel], name: str) -> int:
    """Return the sum of a counter over the buses of a fleet."""
    return sum(kernel.find("bus").counts[name] for kernel in kernels)


async def measure_phase(
    fleet: ControlFleet, phase: str, seconds: float, changes_per_s: float
) -> ControlCost:
    """Measure the cost of a fleet for a number of seconds."""
    kernels = list(fleet.kernels_by_vm.values())
    names = ("bytes_sent", "bytes_received")
    before = [count_bytes(kernels, name) for name in names]
    calls_before = sum(fleet.store.calls_by_kind.values())
    cpu_before_s, started = process_time(), current_time()
    while current_time() - started < seconds:
        if changes_per_s:
            add_workspace(fleet)
        await sleep(1 / changes_per_s if changes_per_s else seconds)
    elapsed = current_time() - started
    after = [count_bytes(kernels, name) for name in names]
    byte_rates = [
        (new - old) / elapsed / len(kernels)
        for old, new in zip(before, after, strict=True)
    ]
    call_count = sum(fleet.store.calls_by_kind.values()) - calls_before
    return ControlCost(
        len(kernels),
        "tcp" if fleet.network is None else "memory",
        phase,
        call_count / elapsed,
        *byte_rates,
        (process_time() - cpu_before_s) / elapsed / len(kernels),
    )


async def measure_control(
    daemons: int, seconds: float, memory: bool, seed: int = 1
) -> list[ControlCost]:
    """Measure a fleet without changes, with them, in a store outage and after it."""
    async with run_control_fleet(seed, memory) as fleet:
        await start_fleet(fleet, daemons)
        costs = [await measure_phase(fleet, "quiet", seconds, 0)]
        costs.append(await measure_phase(fleet, "change", seconds, CHANGES_PER_S))
        fleet.store.set_faults(StoreFaults(outage=True))
        costs.append(await measure_phase(fleet, "outage", seconds, 0))
        fleet.store.set_faults(StoreFaults())
        costs.append(await measure_phase(fleet, "recovery", seconds, 0))
        return costs


def tables_mb(state: ConfigurationState) -> float:
    """Return the memory of a state's tables in MB, without that of decoded objects."""
    tables = [getattr(state, field) for field in FIELDS_BY_KIND.values()]
    return (
        sum(
            getsizeof(table.buckets) + sum(map(getsizeof, table.buckets))
            for table in tables
        )
        / 1e6
    )


def fill_state(workspaces: int, seed: int):
    """Return a state with a number of workspaces and one key for each."""
    random = Random(seed)
    names = [f"workspace-{number}" for number in range(workspaces)]
    entries: dict[str, tuple[int, Workspace]] = {
        name: (1, Workspace(name, random.uniform(1, 100), random.randint(1, 200)))
        for name in names
    }
    table = build_table("workspace", entries)
    del entries
    keys: dict[str, tuple[int, CallerKey]] = {}
    for name in names:
        stored = create_key(name).stored
        keys[stored.key_id] = (1, stored)
    return EMPTY_STATE._replace(
        version=1, workspaces_by_name=table, keys_by_id=build_table("key", keys)
    )


def measure_state(workspaces: int, seed: int = 1) -> StateCost:
    """Measure loading, changes and lookups of a large configuration."""
    state = fill_state(workspaces, seed)
    parts = [
        encode_group(state, group) for group in group_buckets(state, STORE_PART_BYTES)
    ]
    packed_bytes = sum(map(len, parts))
    largest_part_bytes = max(map(len, parts))
    del state
    started = perf_counter()
    state = join_parts(parts).ok
    load_s = perf_counter() - started
    part_count = len(parts)
    del parts
    state_mb = tables_mb(state)
    changes = [
        Change(number + 2, f"o{number}", "bench", "workspace", name, body)
        for number in range(500)
        for name in [f"workspace-{number * 7}"]
        for body in [{"name": name, "rate": 5.0, "burst": 9.0}]
    ]
    started = perf_counter()
    for change in changes:
        state = apply_change(state, change)
    change_s = (perf_counter() - started) / len(changes)
    random = Random(seed)
    names = [f"workspace-{random.randrange(workspaces)}" for _ in range(2000)]
    started = perf_counter()
    for name in names:
        assert name in state.workspaces_by_name
    lookup_s = (perf_counter() - started) / len(names)
    return StateCost(
        workspaces,
        packed_bytes / 1e6,
        state_mb,
        part_count,
        largest_part_bytes,
        load_s,
        change_s * 1e3,
        lookup_s * 1e6,
    )
