"""Steps for duplicate, late and reordered datagrams, on a virtual clock."""

from collections import Counter
from heapq import heappop, heappush
from itertools import count, permutations
from random import Random

from behave import given, then, when
from hypothesis import given as for_all, settings, strategies as st

import primroseturn.control.order
from features.fleet_simulation import run_synchronously
from primroseturn.control.bus import Sender
from primroseturn.control.endpoint import Endpoint
from primroseturn.control.messages import decode_message, encode_message
from primroseturn.control.order import (
    IncarnationNumbers,
    MAX_DELAY_S,
    MAX_INCARNATIONS,
    MAX_VMS,
    MessageOrder,
)
from primroseturn.entry.digest_messages import Digest, VmNotice
from primroseturn.entry.digests import DigestExchange
from primroseturn.entry.usage_repeats import (
    NumberedUsage,
    UsageNumbers,
    UsageRepeats,
)
from primroseturn.limits.models import Workspace
from primroseturn.limits.quota import FleetQuota, Usage
from primroseturn.membership.fleet import Fleet, RegisteredVm
from primroseturn.routing.models import Target
from primroseturn.routing.placement import Placement
from primroseturn.standins.events import SimulationLog

NAMES = ("a1", "a2", "a3", "b1", "b2", "b3")
TICK_S = 0.05
# Longest delay of a copy of a datagram; after `MAX_DELAY_S` it may be refused.
MAX_COPY_DELAY_S = 1.2
# Time for all datagrams to arrive after the last request.
SETTLE_S = 6.0


class CountingQuota(FleetQuota):
    """Counts the requests that other VMs report as received and admitted."""

    def __init__(self, random):
        super().__init__(random)
        self.peer_counts = Counter()

    def record_peer_usage(self, usage, now):
        for item in usage:
            self.peer_counts["requested"] += item.requested
            self.peer_counts["admitted"] += item.admitted
        super().record_peer_usage(usage, now)


class CountingPlacement(Placement):
    """Counts the outcomes that other VMs report."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.peer_counts = Counter()

    def record_peer_outcomes(self, target_id, failed, succeeded, now, *others):
        self.peer_counts["failed"] += failed
        self.peer_counts["succeeded"] += succeeded
        super().record_peer_outcomes(target_id, failed, succeeded, now, *others)


class SimulatedBus(Endpoint):
    """The bus of a VM, whose frames are delayed by the simulated network."""

    def __init__(self, network, vm):
        super().__init__(vm, "start-1", SimulationLog(vm, "start-1"))
        self.network = network

    def transmit(self, peer, frame):
        self.network.schedule_copies(peer, frame)


class Vm:
    """A VM that counts its own requests and outcomes."""

    def __init__(self, network, own, vms):
        self.bus = SimulatedBus(network, own.name)
        self.fleet = Fleet(own)
        self.fleet.apply_list(vms, network.now)
        self.placement = CountingPlacement(
            own.data_center, {"a": "r", "b": "r"}, network.random
        )
        target = Target("t1", "core", "h", 1, "a", 6, False, 0, 1)
        self.placement.update_targets([target], network.now)
        self.quota = CountingQuota(network.random)
        self.quota.fleet_size = len(vms)
        workspaces = {"shop": Workspace("shop", 1000, 1000, None)}
        self.quota.set_workspaces(workspaces, network.now)
        self.exchange = DigestExchange(self.bus, self.fleet, self.placement, self.quota)
        self.own_counts = Counter()

    def process_requests(self, requests, failed, now):
        """Process requests of callers and one outcome at the target."""
        for _ in range(requests):
            self.own_counts["requested"] += 1
            self.own_counts["admitted"] += self.quota.admit("shop", now) == 0
        self.exchange.record_outcome("t1", failed)
        self.own_counts["failed" if failed else "succeeded"] += 1


class DuplicatingNetwork:
    """VMs whose datagrams arrive one to three times, late and in any order."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.now = 1000.0
        self.in_flight = []
        self.numbers = count()
        vms = [RegisteredVm(name, "h", 1, name[0], "r") for name in NAMES]
        self.vms_by_name = {vm.name: Vm(self, vm, vms) for vm in vms}
        self.max_copies = 3

    def schedule_copies(self, peer, frame):
        for _ in range(self.random.randint(1, self.max_copies)):
            at = self.now + self.random.uniform(0.001, MAX_COPY_DELAY_S)
            heappush(self.in_flight, (at, next(self.numbers), peer, frame))

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_S
            while self.in_flight and self.in_flight[0][0] <= self.now:
                _, _, peer, frame = heappop(self.in_flight)
                self.deliver(self.vms_by_name[peer], frame)
            for vm in self.vms_by_name.values():
                run_synchronously(vm.exchange.send_due(self.now))

    def deliver(self, vm, frame):
        envelope = vm.bus.decode_frame(frame, None)
        sender = Sender(envelope.sender, envelope.incarnation, envelope.number)
        is_digest = isinstance(envelope.body, Digest)
        process = (
            vm.exchange.process_digest if is_digest else vm.exchange.process_notice
        )
        process(sender, envelope.body, self.now)

    def differences(self):
        """Return the counted and expected counts of the VMs where they differ."""
        found = {}
        for name, vm in self.vms_by_name.items():
            expected = Counter()
            for other, item in self.vms_by_name.items():
                if other != name:
                    expected.update(item.own_counts)
            counted = vm.quota.peer_counts + vm.placement.peer_counts
            if counted != expected:
                found[name] = (counted, expected)
        return found


def simulate(seed, steps):
    """Return where VMs count wrongly after they processed the requests of the steps."""
    network = DuplicatingNetwork(seed)
    network.run(1.0)
    for name, requests, failed, gap_s in steps:
        network.vms_by_name[name].process_requests(requests, failed, network.now)
        network.run(gap_s)
    network.run(SETTLE_S)
    return network.differences()


STEPS = st.lists(
    st.tuples(
        st.sampled_from(NAMES), st.integers(1, 4), st.booleans(), st.floats(0, 0.6)
    ),
    min_size=1,
    max_size=12,
)


@then(
    "all {vms:d} VMs in {centers:d} data centres count correctly despite duplicate, "
    "late and reordered datagrams"
)
def step_unchanged(context, vms, centers):
    assert (vms, centers) == (len(NAMES), len({name[0] for name in NAMES}))

    @settings(max_examples=60, derandomize=True, database=None, deadline=None)
    @for_all(st.integers(0, 10_000), STEPS)
    def check(seed, steps):
        found = simulate(seed, steps)
        assert not found, found

    check()


def accept_all(self, number, now, in_order):
    return None


def accept_rising(self, number, now, in_order):
    if number <= self.last_in_order:
        return primroseturn.control.order.MessageRefusal("backwards", "")
    self.last_in_order = number
    return None


variants_by_name = {
    "accept each datagram that arrives": (
        IncarnationNumbers,
        "check_and_record",
        accept_all,
    ),
    "drop datagrams that arrive out of order": (
        IncarnationNumbers,
        "check_and_record",
        accept_rising,
    ),
    "forget numbers after 0.2 s": (primroseturn.control.order, "MAX_DELAY_S", 0.2),
}


@given("VMs of a variant that {variant}")
def step_variant(context, variant):
    owner, name, value = variants_by_name[variant]
    original = getattr(owner, name)
    setattr(owner, name, value)
    context.cleanups.append(lambda: setattr(owner, name, original))


@then("some of {vms:d} VMs count wrongly after duplicate, late and reordered datagrams")
def step_changed(context, vms):
    steps = [(name, 3, True, 0.3) for name in NAMES * 2]
    assert vms == len(NAMES)
    assert any(simulate(seed, steps) for seed in range(3))


class Receiver:
    """A VM that receives digests and notices with given numbers."""

    def __init__(self, name):
        self.now = 1000.0
        self.incarnation = 1
        network = DuplicatingNetwork(1)
        vms = [RegisteredVm(f"vm{number}", "h", 1, "a", "r") for number in (1, 2, 3)]
        self.vms_by_name = {vm.name: vm for vm in vms}
        self.vm = Vm(network, self.vms_by_name[name], vms)

    def send(self, vm, number, incarnation=None):
        """Deliver a digest and return the reason if it is refused."""
        digest = Digest(usage=(Usage("shop", 1, 1),), usage_number=number)
        before = self.vm.quota.peer_counts["requested"]
        reason = self.deliver(
            self.vm.exchange.process_digest, vm, number, digest, incarnation
        )
        is_counted = self.vm.quota.peer_counts["requested"] > before
        assert is_counted == (reason is None), (is_counted, reason)
        return reason

    def announce(self, vm, number, is_stopping, incarnation=None):
        """Deliver a notice and return the reason if it is refused."""
        notice = VmNotice(self.vms_by_name[vm], is_stopping)
        return self.deliver(
            self.vm.exchange.process_notice, vm, number, notice, incarnation
        )

    def deliver(self, process, vm, number, body, incarnation):
        counts = self.vm.bus.counts
        before = Counter(counts)
        sender = Sender(vm, f"start-{incarnation or self.incarnation}", number)
        process(sender, body, self.now)
        reasons = list(Counter(counts) - before)
        assert len(reasons) <= 1, reasons
        return reasons[0].removeprefix("dropped_") if reasons else None


@given('digests of "{vm}" with the numbers {first:d} to {last:d} have arrived')
def step_arrived(context, vm, first, last):
    step_arrived_at(context, vm, first, last, "vm1")


@given(
    'digests of "{vm}" with the numbers {first:d} to {last:d} have arrived at "{own}"'
)
def step_arrived_at(context, vm, first, last, own):
    context.receiver = Receiver(own)
    # The VM was listed 10 s ago, so that it may aggregate.
    context.receiver.now += 10.0
    for number in range(first, last + 1):
        assert context.receiver.send(vm, number) is None


@when("{seconds:g} s pass on the virtual clock of the digests")
def step_pass(context, seconds):
    context.receiver.now += seconds


@when('a digest of "{vm}" with the number {number:d} arrives')
@then('a digest of "{vm}" with the number {number:d} is accepted')
def step_accepted(context, vm, number):
    reason = context.receiver.send(vm, number)
    assert reason is None, reason


@then(
    'a digest of "{vm}" with the number {number:d} is refused as "{reason}"',
)
def step_refused(context, vm, number, reason):
    found = context.receiver.send(vm, number)
    assert found == reason, found


@then('"{own}" uses "{aggregator}" as the aggregator')
def step_aggregator(context, own, aggregator):
    receiver = context.receiver
    assert receiver.vm.fleet.own.name == own
    found = receiver.vm.fleet.aggregator(receiver.now)
    assert found == aggregator, found


@when('"{vm}" restarts')
def step_restart(context, vm):
    context.receiver.incarnation += 1


@then(
    'a {kind:w} notice of "{vm}" with the number {number:d} is accepted and '
    "{others:d} other VM is known"
)
@then(
    'a {kind:w} notice of "{vm}" with the number {number:d} is accepted and '
    "{others:d} other VMs are known"
)
def step_notice(context, kind, vm, number, others):
    receiver = context.receiver
    found = receiver.announce(vm, number, kind == "stop")
    assert found is None, found
    assert receiver.vm.fleet.size == 1 + others, receiver.vm.fleet.size


@then('a start notice of "{vm}" with the number {number:d} is refused as "{reason}"')
def step_start_refused(context, vm, number, reason):
    receiver = context.receiver
    size = receiver.vm.fleet.size
    found = receiver.announce(vm, number, False)
    assert (found, receiver.vm.fleet.size) == (reason, size), found


@then(
    "a stop notice of the former incarnation with the number {number:d} is refused "
    'as "{reason}"'
)
def step_stop_refused(context, number, reason):
    receiver = context.receiver
    size = receiver.vm.fleet.size
    found = receiver.announce("vm2", number, True, receiver.incarnation - 1)
    assert (found, receiver.vm.fleet.size) == (reason, size), found


@given("{vms:d} VMs that start {starts:d} times each and send {digests:d} digests")
def step_many(context, vms, starts, digests):
    context.order = MessageOrder()
    now = 1000.0
    for start in range(starts):
        for vm in range(vms):
            for number in range(1, digests + 1):
                now += 0.0001
                sender = Sender(f"vm{vm}", f"start-{start}", number)
                assert context.order.check_and_record(sender, now) is None


@then(
    "numbers of at most {vms:d} VMs, {starts:d} incarnations of each and {seconds:g} s "
    "are kept"
)
def step_bounded(context, vms, starts, seconds):
    assert (vms, starts, seconds) == (MAX_VMS, MAX_INCARNATIONS, MAX_DELAY_S)
    incarnations_by_vm = context.order.incarnations_by_vm
    assert len(incarnations_by_vm) <= vms, len(incarnations_by_vm)
    assert all(len(items) <= starts for items in incarnations_by_vm.values())
    order = MessageOrder()
    for number in range(1, 100_001):
        order.check_and_record(Sender("vm1", "start-1", number), 1000.0 + number / 1000)
    (kept,) = order.incarnations_by_vm["vm1"].values()
    assert len(kept.seen) == len(kept.recent) <= 1000 * seconds + 1, len(kept.seen)


@given('usage that was sent to "{vm}"')
def step_sent_usage(context, vm):
    context.repeats = UsageRepeats()
    context.repeats.take(vm)
    context.repeats.add(1, (Usage("shop", 1, 1),))


@then(
    'the next 3 digests to "{vm}" repeat it {first:d}, {second:d} and {third:d} times'
)
def step_repeated(context, vm, first, second, third):
    found = [len(context.repeats.take(vm)) for _ in range(3)]
    assert found == [first, second, third], found


@then("any order and loss of three digests that repeat usage count each unit once")
def step_any_order(context):
    units = [(Usage(f"shop{number}", 1, 1),) for number in range(3)]
    repeats = UsageRepeats()
    digests = []
    for number, usage in enumerate(units, 1):
        digests.append((number, usage, repeats.take("vm1")))
        repeats.add(number, usage)
    sender = Sender("vm2", "start-1", 1)
    for length in (1, 2, 3):
        for arrived in permutations(digests, length):
            numbers = UsageNumbers()
            counted = [
                item.workspace
                for number, usage, repeated in arrived
                for item in numbers.collect(sender, usage, number, repeated, 1.0)
            ]
            expected = {
                item.workspace
                for _, usage, repeated in arrived
                for item in (
                    *usage,
                    *(part for unit in repeated for part in unit.usage),
                )
            }
            assert sorted(counted) == sorted(expected), (arrived, counted)


@then("a digest with the usage number {number:d} and a repeat can be decoded")
def step_large_number(context, number):
    usage = (Usage("shop", 1, 1),)
    repeated = (NumberedUsage(number - 1, usage),)
    digest = Digest(usage=usage, usage_number=number, repeated_usage=repeated)
    decoded = decode_message(encode_message(digest, "vm1", "start-1", 1))
    assert decoded.is_ok() and decoded.ok.body == digest, decoded
