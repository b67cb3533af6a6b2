"""Steps for the rates of workspaces over all VMs, on a virtual clock."""

from heapq import heappop, heappush
from itertools import count
from random import Random

from behave import given, then, when

from primroseturn.entry.models import Workspace
from primroseturn.limits.quota import (
    ADMISSION_WAIT_S,
    FleetQuota,
    REPORT_TIMEOUT_S,
    Usage,
)

NAME = "shop"
DIGEST_S = 0.2
DELAY_S = 0.3
TICK_S = 0.01
# What the platform allows beyond rate and burst in a window.
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20


class QuotaFleet:
    """VMs that exchange usage with a delay, each heard by all of its side."""

    def __init__(self, size, rate, burst):
        self.workspace = Workspace(NAME, rate, burst, None)
        self.random = Random(7)
        self.now = 100.0
        self.size = size
        self.vms = [self.start_vm() for _ in range(size)]
        self.sides = [0] * size
        # When each VM last heard each other one; its aggregator counts these for it.
        self.heard_at: list[dict[int, float]] = [{} for _ in range(size)]
        self.weights = [self.random.uniform(0.3, 2.0) for _ in range(size)]
        self.admitted: list[float] = []
        self.asked = self.refused = 0
        self.waiting: list = []
        self.held: list = []
        self.numbers = count()
        self.next_digest = self.now
        self.exchange = True

    def start_vm(self):
        quota = FleetQuota(Random(self.random.random()))
        quota.fleet_size = self.size
        quota.set_workspaces({NAME: self.workspace}, self.now)
        return quota

    def run(self, factor, seconds):
        """Let the workspace ask for some time."""
        end = self.now + seconds
        rate = factor * self.workspace.rate
        while self.now < end:
            self.now += TICK_S
            self.deliver()
            while self.held and self.held[0][0] <= self.now:
                _, _, vm = heappop(self.held)
                self.admit(vm, True)
            arrivals = self.random.random() < rate * TICK_S % 1
            for _ in range(int(rate * TICK_S) + arrivals):
                self.ask()
            if self.exchange and self.now >= self.next_digest:
                self.next_digest += DIGEST_S
                self.send()

    def ask(self):
        (vm,) = self.random.choices(self.vms, self.weights)
        self.asked += 1
        self.admit(vm, False)

    def admit(self, vm, again):
        wait_s = vm.admit(NAME, self.now, again)
        if wait_s == 0:
            self.admitted.append(self.now)
        elif again or wait_s > ADMISSION_WAIT_S:
            self.refused += 1
        else:
            heappush(self.held, (self.now + wait_s, next(self.numbers), vm))

    def send(self):
        for index, vm in enumerate(self.vms):
            entry = (
                self.now + DELAY_S,
                next(self.numbers),
                index,
                vm.drain_usage(self.now),
            )
            heappush(self.waiting, entry)

    def deliver(self):
        while self.waiting and self.waiting[0][0] <= self.now:
            _, _, index, usage = heappop(self.waiting)
            for other, vm in enumerate(self.vms):
                if other != index and self.sides[other] == self.sides[index]:
                    vm.record_peer_usage(usage, self.now)
                    self.heard_at[other][index] = self.now
        for other, vm in enumerate(self.vms):
            heard = self.heard_at[other].values()
            reached = 1 + sum(self.now - at < REPORT_TIMEOUT_S for at in heard)
            if reached > 1:
                vm.record_reachable_count(reached, self.now)

    def worst_excess(self, since=0.0):
        """Return by how much the worst window exceeds what is allowed."""
        workspace = self.workspace
        allowed = workspace.rate * WINDOW_S + workspace.burst
        allowed = allowed * (1 + OVERAGE) + SLACK
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
    # VMs hear each other before callers come.
    context.quota_fleet.run(0, 1)


@given("VMs that exchange no digests and each admit the whole rate")
def step_alone(context):
    context.quota_fleet.exchange = False
    for vm in context.quota_fleet.vms:
        vm.fleet_size = 1


@when("it requests {factor:g} times its rate for {seconds:g} s")
def step_ask(context, factor, seconds):
    context.quota_fleet.run(factor, seconds)


@when("the VMs are partitioned into two halves")
def step_cut(context):
    fleet = context.quota_fleet
    fleet.sides = [index % 2 for index in range(fleet.size)]


@when("1 VM is cut off for {seconds:g} s")
def step_lone(context, seconds):
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
            fleet.heard_at[index] = {}
        fleet.run(factor, gap)


@when("{number:d} of the VMs restart")
def step_restart(context, number):
    fleet = context.quota_fleet
    for index in range(number):
        fleet.vms[index] = fleet.start_vm()
        fleet.heard_at[index] = {}


@when("its rate becomes {rate:d} and its burst {burst:d}")
def step_lower(context, rate, burst):
    fleet = context.quota_fleet
    fleet.workspace = Workspace(NAME, rate, burst, None)
    for vm in fleet.vms:
        vm.set_workspaces({NAME: fleet.workspace}, fleet.now)


@then("in no 5 s more is admitted than the rate and the burst allow")
def step_within(context):
    assert context.quota_fleet.worst_excess() <= 0, context.quota_fleet.worst_excess()


@then("in some 5 s more is admitted than the rate and the burst allow")
def step_beyond(context):
    assert context.quota_fleet.worst_excess() > 0


@then(
    "in no 5 s of the last {seconds:g} s more is admitted than the rate and the burst"
    " allow"
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
    assert fleet.refused <= share * fleet.asked, (fleet.refused, fleet.asked)


class AskedVm:
    """One VM of a fleet whose others report what they admit."""

    def __init__(self, size, rate):
        self.now = 100.0
        self.quota = FleetQuota(Random(3))
        self.quota.fleet_size = size
        workspace = Workspace(NAME, rate, rate, None)
        self.quota.set_workspaces({NAME: workspace}, self.now)
        self.reported = 0
        self.refusals: list[tuple[str, str]] = []

    def hear(self, per_s, seconds):
        """Let digests of the others arrive."""
        for index in range(round(seconds / DIGEST_S)):
            self.now += DIGEST_S
            self.report(per_s)
            if index % 5 == 0:
                self.ask()
        self.refusals.clear()

    def report(self, per_s):
        count = int(per_s * DIGEST_S)
        self.quota.record_reachable_count(self.quota.fleet_size, self.now)
        self.quota.record_peer_usage((Usage(NAME, count, count),), self.now)

    def ask(self):
        if self.quota.admit(NAME, self.now) > 0:
            reason, detail = self.quota.explain_refusal(NAME, self.now)
            self.refusals.append((reason.value, detail))


@given("one of {size:d} VMs and a workspace with a rate of {rate:d}")
def step_one_vm(context, size, rate):
    context.asked_vm = AskedVm(size, rate)


@given(
    "it receives a request per second while the others report {per_s:d} per second "
    "for {seconds:g} s"
)
def step_reports(context, per_s, seconds):
    context.asked_vm.hear(per_s, seconds)


@when("no digest of another VM arrives for {seconds:g} s")
def step_silence(context, seconds):
    context.asked_vm.now += seconds


@when("callers send the VM {per_s:d} requests of it per second for {seconds:g} s")
def step_ask_vm(context, per_s, seconds):
    vm = context.asked_vm
    for _ in range(int(per_s * seconds)):
        vm.now += 1 / per_s
        vm.quota.drain_usage(vm.now)
        vm.ask()


@when("callers send the VM {number:d} requests of it at once")
def step_ask_at_once(context, number):
    for _ in range(number):
        context.asked_vm.ask()


@then('most of its refusals state "{reason}" and "{text}"')
def step_refusals(context, reason, text):
    refusals = context.asked_vm.refusals
    found = [detail for kind, detail in refusals if kind == reason and text in detail]
    assert len(found) > 0.9 * len(refusals) > 1, refusals


@then('its last refusal states "{reason}"')
def step_last_refusal(context, reason):
    assert context.asked_vm.refusals[-1][0] == reason, context.asked_vm.refusals
