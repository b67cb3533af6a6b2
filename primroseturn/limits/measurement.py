"""Measures admission over a simulated fleet on virtual time.

All VMs run the daemon's code on an in-process network and store. The clock jumps from
timer to timer, so that results depend on the seed and not on the machine.
"""

from functools import partial
from math import log
from random import Random
from typing import NamedTuple

from anyio import create_task_group, current_time, run, sleep, sleep_until
from trio.testing import MockClock

from primroseturn.clock import MonotonicClock
from primroseturn.configuration.models import EntryVm, Workspace
from primroseturn.limits.admission import (
    Admission,
    AdmissionDependencies,
    Identity,
    run_admission,
)
from primroseturn.limits.bucket import TokenBucket
from primroseturn.settings.models import LimitSettings
from primroseturn.standins.events import SimulationLog
from primroseturn.standins.network import MemoryNetwork
from primroseturn.standins.objects import MemoryObjects

DATA_CENTERS = 4
CROSS_REGION_DELAY_S = 0.012
REGION_DELAY_S = 0.001
RATES_PER_S = (200.0, 50.0, 50.0, 20.0, 10.0, 5.0, 5.0, 2.0)
MIN_BURST = 5.0
TOKEN_TIMEOUT_S = 0.2
# Fraction of the requests that one VM receives in the uneven shapes of demand.
HOT_VM_FRACTION = 0.5
MOVE_INTERVAL_S = 5.0
SHAPES = ("uniform", "skewed", "moving")


class LimitsReport(NamedTuple):
    """Results of one shape of demand. Refusals are per 10,000 requests."""

    shape: str
    requests: int
    refused_inside_rate: float
    static_split_refused_inside_rate: float
    over_admitted: int
    store_calls_per_s: float
    control_bytes_per_s_per_daemon: float


class MeasurementOptions(NamedTuple):
    """Size, duration and seed of a measurement.

    `load` is the demand as a fraction of the rate.
    """

    vms: int
    seconds: float
    load: float
    seed: int


class RegionNetwork(MemoryNetwork):
    """Network with longer delays between regions."""

    region_by_vm: dict[str, str]

    def send_frame(self, sender: str, receiver: str, frame: bytes) -> None:
        """Deliver a frame after the delay between its regions."""
        self.frame_count += 1
        self.frame_bytes += len(frame)
        same_region = self.region_by_vm[sender] == self.region_by_vm[receiver]
        delay = REGION_DELAY_S if same_region else CROSS_REGION_DELAY_S
        self.tasks.start_soon(self.deliver, sender, receiver, frame, delay)


class ReferenceBucket:
    """One bucket for the whole fleet, which decides what is within the rate.

    Each admission of any VM consumes a token. A request that is refused while there is
    a token was within the rate, and one that is admitted without a token exceeds it.
    """

    def __init__(self, workspace: Workspace) -> None:
        self.bucket = TokenBucket(
            workspace.rate, workspace.burst, workspace.burst, current_time()
        )
        self.over_admitted = self.refused_within_rate = self.requests = 0

    def count_decision(self, admitted: bool) -> None:
        """Count one decision at the current time."""
        self.requests += 1
        is_within_rate = self.bucket.try_consume(1.0 - 1e-6, current_time())
        if admitted and not is_within_rate:
            self.over_admitted += 1
        elif is_within_rate and not admitted:
            self.bucket.tokens += 1.0 - 1e-6
            self.refused_within_rate += 1


def choose_vm(random: Random, shape: str, vms: int, now: float) -> int:
    """Return the number of the VM that receives the next request."""
    if shape != "uniform" and random.random() < HOT_VM_FRACTION:
        return int(now // MOVE_INTERVAL_S) * 7 % vms if shape == "moving" else 0
    return random.randrange(vms)


def make_workspaces() -> list[Workspace]:
    """Return workspaces, a few of them with a high rate."""
    return [
        Workspace(f"workspace{number}", rate, max(MIN_BURST, rate))
        for number, rate in enumerate(RATES_PER_S)
    ]


def make_entries(count: int) -> dict[str, EntryVm]:
    """Return VMs in two regions of two data centres each."""
    entries: dict[str, EntryVm] = {}
    for number in range(count):
        center = number % DATA_CENTERS
        entries[f"vm{number}"] = EntryVm(
            f"vm{number}", "", 0, f"dc{center}", f"region{center // 2}"
        )
    return entries


async def send_requests(
    workspace: Workspace, shape: str, options: MeasurementOptions, admit
) -> None:
    """Send requests of one workspace as a Poisson process."""
    random = Random(f"{options.seed}/{workspace.name}")
    started = at = current_time()
    async with create_task_group() as tasks:
        while at < started + options.seconds:
            at += -log(1.0 - random.random()) / (workspace.rate * options.load)
            await sleep_until(at)
            vm = choose_vm(random, shape, options.vms, at - started)
            tasks.start_soon(admit, workspace, vm)


async def measure_shape(shape: str, options: MeasurementOptions) -> LimitsReport:
    """Measure admission with loans, and with fixed equal parts (the static split)."""
    workspaces = make_workspaces()
    entries = make_entries(options.vms)
    async with create_task_group() as tasks:
        network = RegionNetwork(tasks, options.seed)
        network.region_by_vm = {vm: entry.region for vm, entry in entries.items()}
        objects = MemoryObjects(tasks, options.seed)
        admissions: list[Admission] = []
        for vm in entries:
            await tasks.start(run_vm, vm, entries, network, objects, admissions)
        await warm_up(workspaces, admissions)
        calls, sent = objects.reads + objects.writes, network.frame_bytes
        references_for_loans = {item.name: ReferenceBucket(item) for item in workspaces}
        references_for_split = {item.name: ReferenceBucket(item) for item in workspaces}
        buckets: dict[tuple[str, int], TokenBucket] = {}

        async def admit(workspace: Workspace, vm: int) -> None:
            tasks.start_soon(
                admit_by_split,
                workspace,
                vm,
                options.vms,
                buckets,
                references_for_split[workspace.name],
            )
            result = await admissions[vm].admit(workspace, TOKEN_TIMEOUT_S)
            references_for_loans[workspace.name].count_decision(result.is_ok())

        async with create_task_group() as senders:
            for workspace in workspaces:
                senders.start_soon(send_requests, workspace, shape, options, admit)
        requests = sum(item.requests for item in references_for_loans.values())
        calls = objects.reads + objects.writes - calls
        sent = network.frame_bytes - sent
        await sleep(1.0)
        tasks.cancel_scope.cancel()
    return LimitsReport(
        shape,
        requests,
        refusals_per_10_000(references_for_loans),
        refusals_per_10_000(references_for_split),
        sum(item.over_admitted for item in references_for_loans.values()),
        calls / options.seconds,
        sent / options.seconds / options.vms,
    )


def refusals_per_10_000(references: dict[str, ReferenceBucket]) -> float:
    """Return the refusals within the rate per 10,000 requests."""
    refused_within_rate = sum(item.refused_within_rate for item in references.values())
    return (
        10_000
        * refused_within_rate
        / sum(item.requests for item in references.values())
    )


async def warm_up(workspaces: list[Workspace], admissions: list[Admission]) -> None:
    """Create the shares; wait 10 s so that owners get their units and full buckets."""
    for workspace in workspaces:
        for admission in admissions:
            admission.share_of(workspace)
    await sleep(10.0)


async def admit_by_split(
    workspace: Workspace,
    vm: int,
    vms: int,
    buckets: dict[tuple[str, int], TokenBucket],
    reference: ReferenceBucket,
) -> None:
    """Admit by a bucket of the VM that has an equal, fixed part of rate and burst."""
    key = (workspace.name, vm)
    if key not in buckets:
        rate, burst = workspace.rate / vms, workspace.burst / vms
        # A bucket below one token would refuse everything.
        burst = max(1.0, burst)
        buckets[key] = TokenBucket(rate, burst, burst, current_time())
    bucket = buckets[key]
    deadline = current_time() + TOKEN_TIMEOUT_S
    while not bucket.try_consume(1.0, current_time()):
        delay = bucket.seconds_until(1.0, current_time())
        if current_time() + delay > deadline:
            reference.count_decision(False)
            return
        # Without the added time, rounding could keep a bucket just below one token for
        # ever.
        await sleep(delay + 1e-6)
    reference.count_decision(True)


async def run_vm(
    vm: str,
    entries: dict[str, EntryVm],
    network: MemoryNetwork,
    objects: MemoryObjects,
    admissions: list[Admission],
    *,
    task_status,
) -> None:
    """Run admission of one VM until cancelled."""
    by_name = {item.name: item for item in make_workspaces()}
    dependencies = AdmissionDependencies(
        objects,
        network.join(vm, "i1"),
        MonotonicClock(),
        Random(vm),
        lambda: entries,
        by_name.get,
        SimulationLog(vm),
    )
    identity = Identity(vm, f"{vm}@h:1", "i1")
    async with run_admission(identity, LimitSettings(), dependencies) as admission:
        admissions.append(admission)
        task_status.started()
        await sleep(float("inf"))


def measure_limits(options: MeasurementOptions) -> list[LimitsReport]:
    """Measure all shapes of demand on virtual time."""
    reports: list[LimitsReport] = []
    for shape in SHAPES:
        clock = MockClock(autojump_threshold=0)
        backend_options = {"clock": clock}
        function = partial(measure_shape, shape, options)
        reports.append(run(function, backend="trio", backend_options=backend_options))
    return reports
