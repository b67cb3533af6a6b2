"""Steps for the rates of workspaces over all VMs, on a virtual clock."""

from heapq import heappop, heappush
from itertools import count
from random import Random

from behave import given, then, when

from primroseturn.limits.models import Workspace
from primroseturn.limits.quota import (
    ADMISSION_WAIT_S,
    DIGEST_TIMEOUT_S,
    FleetQuota,
    Usage,
)

WORKSPACE = "shop"
DIGEST_INTERVAL_S = 0.2
DIGEST_DELAY_S = 0.3
TICK_S = 0.01
# Window in which the platform checks the admitted requests, and the fraction and number
# that it tolerates there above rate and burst.
WINDOW_S, TOLERATED_FRACTION, TOLERATED_REQUESTS = 5.0, 0.1, 20


class QuotaFleet:
    """VMs that exchange usage with a delay within their side of a partition."""

    def __init__(self, size, rate, burst):
        self.workspace = Workspace(WORKSPACE, rate, burst, None)
        self.random = Random(7)
        self.now = 100.0
        self.size = size
        self.vms = [self.start_vm() for _ in range(size)]
        # Side of a partition on which each VM is.
        self.sides = [0] * size
        # When each VM last received the usage of each other VM. In a real fleet the
        # aggregator counts these VMs for it.
        self.received_at: list[dict[int, float]] = [{} for _ in range(size)]
        # Part of the workspace's requests that each VM receives.
        self.weights = [self.random.uniform(0.3, 2.0) for _ in range(size)]
        self.admitted: list[float] = []
        self.requested = self.refused = 0
        self.digests_in_transit: list = []
        self.waiting_requests: list = []
        self.tie_breakers = count()
        self.next_digest_at = self.now
        self.exchanges_digests = True

    def start_vm(self):
        quota = FleetQuota(Random(self.random.random()))
        quota.fleet_size = self.size
        quota.set_workspaces({WORKSPACE: self.workspace}, self.now)
        return quota

    def run(self, factor, seconds):
        """Let the workspace send a multiple of its rate for a number of seconds."""
        end = self.now + seconds
        rate = factor * self.workspace.rate
        while self.now < end:
            self.now += TICK_S
            self.deliver_digests()
            while self.waiting_requests and self.waiting_requests[0][0] <= self.now:
                _, _, vm = heappop(self.waiting_requests)
                self.admit(vm, True)
            arrivals = self.random.random() < rate * TICK_S % 1
            for _ in range(int(rate * TICK_S) + arrivals):
                self.request()
            if self.exchanges_digests and self.now >= self.next_digest_at:
                self.next_digest_at += DIGEST_INTERVAL_S
                self.send_digests()

    def request(self):
        (vm,) = self.random.choices(self.vms, self.weights)
        self.requested += 1
        self.admit(vm, False)

    def admit(self, vm, already_counted):
        wait_s = vm.admit(WORKSPACE, self.now, already_counted)
        if wait_s == 0:
            self.admitted.append(self.now)
        elif already_counted or wait_s > ADMISSION_WAIT_S:
            self.refused += 1
        else:
            heappush(
                self.waiting_requests, (self.now + wait_s, next(self.tie_breakers), vm)
            )

    def send_digests(self):
        for index, vm in enumerate(self.vms):
            entry = (
                self.now + DIGEST_DELAY_S,
                next(self.tie_breakers),
                index,
                vm.pop_usage(self.now),
            )
            heappush(self.digests_in_transit, entry)

    def deliver_digests(self):
        while self.digests_in_transit and self.digests_in_transit[0][0] <= self.now:
            _, _, index, usage = heappop(self.digests_in_transit)
            for other, vm in enumerate(self.vms):
                if other != index and self.sides[other] == self.sides[index]:
                    vm.record_peer_usage(usage, self.now)
                    self.received_at[other][index] = self.now
        for other, vm in enumerate(self.vms):
            times = self.received_at[other].values()
            reachable = 1 + sum(self.now - at < DIGEST_TIMEOUT_S for at in times)
            if reachable > 1:
                vm.record_reachable_count(reachable, self.now)

    def worst_excess(self, since=0.0):
        """Return by how many requests the worst window exceeds what is allowed."""
        workspace = self.workspace
        allowed = workspace.rate * WINDOW_S + workspace.burst
        allowed = allowed * (1 + TOLERATED_FRACTION) + TOLERATED_REQUESTS
        times = [at for at in self.admitted if at >= since]
        most = last = 0
        for first, at in enumerate(times):
            while last < len(times) and times[last] < at + WINDOW_S:
                last += 1
            most = max(most, last - first)
        return most - allowed


@given("{size:d} VMs and a workspace with a rate of {rate:d} and a burst of {burst:d}")
def step_fleet(context, size, rate, burst):
    context.quota_fleet = QuotaFleet(size, rate, burst)
    # The VMs exchange digests before callers send requests.
    context.quota_fleet.run(0, 1)


@given("VMs that exchange no digests and each admit the whole rate")
def step_no_exchange(context):
    context.quota_fleet.exchanges_digests = False
    for vm in context.quota_fleet.vms:
        vm.fleet_size = 1


@when("it requests {factor:g} times its rate for {seconds:g} s")
def step_request(context, factor, seconds):
    context.quota_fleet.run(factor, seconds)


@when("the VMs are partitioned into two halves")
def step_partition(context):
    fleet = context.quota_fleet
    fleet.sides = [index % 2 for index in range(fleet.size)]


@when("1 VM is partitioned from the others for {seconds:g} s")
def step_partition_one(context, seconds):
    fleet = context.quota_fleet
    fleet.sides = [int(index == 0) for index in range(fleet.size)]
    fleet.run(0.6, seconds)
    fleet.sides = [0] * fleet.size


@when(
    "{number:d} of its VMs restart each {gap:g} s for {seconds:g} s while it requests"
    " {factor:g} times its rate"
)
def step_restart_series(context, number, gap, seconds, factor):
    fleet = context.quota_fleet
    until = fleet.now + seconds
    while fleet.now < until:
        for index in fleet.random.sample(range(fleet.size), number):
            fleet.vms[index] = fleet.start_vm()
            fleet.received_at[index] = {}
        fleet.run(factor, gap)


@when("{number:d} of the VMs restart")
def step_restart(context, number):
    fleet = context.quota_fleet
    for index in range(number):
        fleet.vms[index] = fleet.start_vm()
        fleet.received_at[index] = {}


@when("its rate becomes {rate:d} and its burst {burst:d}")
def step_lower(context, rate, burst):
    fleet = context.quota_fleet
    fleet.workspace = Workspace(WORKSPACE, rate, burst, None)
    for vm in fleet.vms:
        vm.set_workspaces({WORKSPACE: fleet.workspace}, fleet.now)


@then("in no 5 s more is admitted than rate, burst and tolerance allow")
def step_within(context):
    assert context.quota_fleet.worst_excess() <= 0, context.quota_fleet.worst_excess()


@then("in some 5 s more is admitted than rate, burst and tolerance allow")
def step_exceeded(context):
    assert context.quota_fleet.worst_excess() > 0


@then(
    "in no 5 s of the last {seconds:g} s more is admitted than rate, burst and "
    "tolerance allow"
)
def step_within_last(context, seconds):
    fleet = context.quota_fleet
    excess = fleet.worst_excess(fleet.now - seconds)
    assert excess <= 0, excess


@then("in the last {seconds:g} s at least {share:g} of the rate is admitted")
def step_admits(context, seconds, share):
    fleet = context.quota_fleet
    found = sum(at >= fleet.now - seconds for at in fleet.admitted)
    assert found >= share * fleet.workspace.rate * seconds, found


@then("at most {share:g} of its requests are refused")
def step_refused(context, share):
    fleet = context.quota_fleet
    assert fleet.refused <= share * fleet.requested, (fleet.refused, fleet.requested)


class ReportedVm:
    """One VM of a fleet whose other VMs report what they admit."""

    def __init__(self, size, rate):
        self.now = 100.0
        self.quota = FleetQuota(Random(3))
        self.quota.fleet_size = size
        workspace = Workspace(WORKSPACE, rate, rate, None)
        self.quota.set_workspaces({WORKSPACE: workspace}, self.now)
        self.reported = 0
        self.refusals: list[tuple[str, str]] = []

    def receive_digests(self, per_s, seconds):
        """Let digests of the other VMs arrive, and a request at this VM each second."""
        for index in range(round(seconds / DIGEST_INTERVAL_S)):
            self.now += DIGEST_INTERVAL_S
            self.receive_digest(per_s)
            if index % 5 == 0:
                self.request()
        self.refusals.clear()

    def receive_digest(self, per_s):
        count = int(per_s * DIGEST_INTERVAL_S)
        self.quota.record_reachable_count(self.quota.fleet_size, self.now)
        self.quota.record_peer_usage((Usage(WORKSPACE, count, count),), self.now)

    def request(self):
        if self.quota.admit(WORKSPACE, self.now) > 0:
            reason, detail = self.quota.explain_refusal(WORKSPACE, self.now)
            self.refusals.append((reason.value, detail))


@given("one of {size:d} VMs and a workspace with a rate of {rate:d}")
def step_one_vm(context, size, rate):
    context.reported_vm = ReportedVm(size, rate)


@given(
    "the VM receives a request per second while the others report {per_s:d} per second "
    "for {seconds:g} s"
)
def step_reports(context, per_s, seconds):
    context.reported_vm.receive_digests(per_s, seconds)


@when("no digest of another VM arrives for {seconds:g} s")
def step_no_digest(context, seconds):
    context.reported_vm.now += seconds


@when(
    "callers of the workspace send the VM {per_s:d} requests per second for "
    "{seconds:g} s"
)
def step_request_vm(context, per_s, seconds):
    vm = context.reported_vm
    for _ in range(int(per_s * seconds)):
        vm.now += 1 / per_s
        vm.quota.pop_usage(vm.now)
        vm.request()


@when("callers of the workspace send the VM {number:d} requests at once")
def step_request_at_once(context, number):
    for _ in range(number):
        context.reported_vm.request()


@then('most of the VM\'s refusals state "{reason}" and "{text}"')
def step_refusals(context, reason, text):
    refusals = context.reported_vm.refusals
    found = [detail for kind, detail in refusals if kind == reason and text in detail]
    assert len(found) > 0.9 * len(refusals) > 1, refusals


@then('the VM\'s last refusal states "{reason}"')
def step_last_refusal(context, reason):
    assert context.reported_vm.refusals[-1][0] == reason, context.reported_vm.refusals
