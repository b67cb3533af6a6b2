"""Steps for a simulated fleet whose VMs stop, start and leave."""

from collections.abc import Callable
from random import Random

from behave import given, then, when

from features.fleet_simulation import SimulatedFleet
from primroseturn.control.order import IncarnationNumbers
from primroseturn.entry.digest_messages import Digest
from primroseturn.entry.digests import DigestExchange
from primroseturn.entry.usage_repeats import UsageRepeats
from primroseturn.limits.window import AdmissionWindow
from primroseturn.membership.fleet import Fleet

# Simulated seconds before the first step: in a settled fleet, until all VMs know each
# other, and in a fleet that has just started.
SETTLED_S = 6.0
STARTED_S = 4.0
# Simulated seconds in which the buckets of small workspaces are filled.
FILLED_S = 16.0
# Requests per second and VM, as on a large deployment, and the exponent of the Pareto
# distribution of the workspaces' sizes.
REQUESTS_PER_VM = 2.8
LARGE_WORKSPACES_EXPONENT = 1.2

Variant = Callable[[], tuple[type, str, object]]
variants_by_name: dict[str, Variant] = {}


def variant(name: str) -> Callable[[Variant], Variant]:
    """Register a function that returns a class, its attribute and a broken value."""

    def register(function: Variant) -> Variant:
        variants_by_name[name] = function
        return function

    return register


@variant("that sends no start and stop notices")
def without_notices():
    return DigestExchange, "announce", lambda self, now, is_stopping=False: None


@variant("that aggregates from its start on")
def without_warm_up():
    return (
        Fleet,
        "may_not_aggregate",
        lambda self, name, now: name in self.stop_announced_by_vm,
    )


@variant("that never times out an aggregator")
def without_aggregator_timeout():
    return Fleet, "has_timed_out", lambda self, name, now: False


@variant("that counts duplicate datagrams")
def without_duplicate_check():
    # The numbers of messages and of usage are both checked there.
    return (
        IncarnationNumbers,
        "check_and_record",
        lambda self, number, now, in_order: None,
    )


@variant("that counts each admitted request twice")
def with_double_count():
    return AdmissionWindow, "used", lambda self, slot: 2 * slot.count


@variant("that sends the usage of each digest once")
def without_usage_repeats():
    return UsageRepeats, "take", lambda self, receiver: ()


@variant("that relays received counts a second time")
def without_relay_mark():
    original = DigestExchange.process_digest

    def process_all(self, sender, body, now):
        fields = {name: getattr(body, name) for name in body.__struct_fields__}
        original(self, sender, Digest(**{**fields, "relayed": False}), now)
        if body.relayed and sender.vm == self.fleet.aggregator(now):
            self.quota.record_reachable_count(
                max(1, self.fleet.size - body.unreachable_count), now
            )

    return DigestExchange, "process_digest", process_all


@given("a simulated fleet of {size:d} VMs with seed {seed:d} that has just started")
def step_new_fleet(context, size, seed):
    fleet = context.simulation = SimulatedFleet(size, 5.0 * size, seed)
    fleet.run(STARTED_S)
    context.since = fleet.now


@given("a simulated fleet of {size:d} VMs with seed {seed:d}")
def step_fleet(context, size, seed):
    fleet = context.simulation = SimulatedFleet(size, 5.0 * size, seed)
    fleet.run(SETTLED_S)
    context.since = fleet.now


@given(
    "a simulated fleet of {size:d} VMs with {count:d} workspaces, a few of them large, "
    "and seed {seed:d}"
)
def step_many_workspaces(context, size, count, seed):
    random = Random(seed)
    shares = tuple(
        random.paretovariate(LARGE_WORKSPACES_EXPONENT) for _ in range(count)
    )
    load = REQUESTS_PER_VM * size
    fleet = context.simulation = SimulatedFleet(size, load, seed, shares)
    fleet.run(FILLED_S)
    context.since = fleet.now


@then("at least {share:g} of the requests are refused")
def step_share_reached(context, share):
    fleet = context.simulation
    requested = sum(at >= context.since for at in fleet.request_times)
    refused = sum(item.at >= context.since for item in fleet.refusals)
    assert refused >= share * requested, (refused, requested)


@given(
    "a fraction of {loss:g} of its datagrams is lost and one of {duplication:g} "
    "arrives twice and late"
)
def step_lossy(context, loss, duplication):
    context.simulation.loss_share = loss
    context.simulation.duplication_share = duplication


@given("its VMs are of a variant {name}")
def step_variant(context, name):
    owner, method, value = variants_by_name[name]()
    original = getattr(owner, method)
    setattr(owner, method, value)
    context.cleanups.append(lambda: setattr(owner, method, original))


@when("{share:g} of its VMs {way}, {count:d} every {gap:g} s, and restart")
def step_series(context, share, way, count, gap):
    fleet = context.simulation
    names = sorted(fleet.vms_by_name)
    fleet.random.shuffle(names)
    end = fleet.stop if way == "stop" else fleet.kill
    for index, name in enumerate(names[: int(share * len(names))]):
        fleet.schedule(fleet.now + gap * (index // count), lambda name=name: end(name))


@when("{share:g} of its VMs are paused for {seconds:g} s")
def step_pause(context, share, seconds):
    fleet = context.simulation
    names = sorted(fleet.vms_by_name)
    for name in fleet.random.sample(names, int(share * len(names))):
        fleet.pause(name, seconds)


@when("{loss} happens")
def step_loss(context, loss):
    fleet = context.simulation
    names = sorted(fleet.vms_by_name)
    if loss == "a kill of half of the VMs":
        lost, restarts = fleet.random.sample(names, len(names) // 2), True
    else:
        restarts = False
        first_center = [name for name in names if name.startswith("a1")]
        second_center = [name for name in names if name.startswith("b1")]
        lost = {
            "the loss of an aggregator": first_center[:1],
            "the loss of two aggregators in two data centres": first_center[:2]
            + second_center[:2],
            "the loss of a data centre": first_center,
        }[loss]
    for name in lost:
        fleet.kill(name, restarts)


@when("{seconds:g} s pass in the simulation")
def step_pass(context, seconds):
    context.simulation.run(seconds)


@given("callers that have sent {factor:g} times the usual load for {seconds:g} s")
def step_sent_more(context, factor, seconds):
    fleet = context.simulation
    fleet.load_factor = factor
    fleet.run(seconds)
    context.since = fleet.now


@when("callers send {factor:g} times the usual load for {seconds:g} s")
def step_send_more(context, factor, seconds):
    fleet = context.simulation
    fleet.load_factor = factor
    fleet.run(seconds)
    context.since = fleet.now - seconds


@when("its regions are partitioned from each other")
def step_partition(context):
    fleet = context.simulation
    fleet.sides_by_vm = {name: int(name[0] == "a") for name in fleet.vms_by_name}


@then("less than {share:g} of the requests are refused in any 2 s")
def step_windows(context, share):
    found = context.simulation.refused_by_window(context.since)
    assert max(found.values()) < share, found


@then(
    "less than {share:g} of the requests are refused in any 2 s after the first second"
)
def step_windows_later(context, share):
    found = context.simulation.refused_by_window(context.since + 1.0)
    assert max(found.values()) < share, found


@then("less than {share:g} of the requests are refused")
def step_share(context, share):
    fleet = context.simulation
    requested = sum(at >= context.since for at in fleet.request_times)
    refused = [item for item in fleet.refusals if item.at >= context.since]
    assert len(refused) < share * requested, refused


@then("more than {share:g} of the requests are refused in some period of 2 s")
def step_refused_more(context, share):
    found = context.simulation.refused_by_window(context.since)
    assert max(found.values()) > share, found


@then("its VMs count more than {factor:d} times the requests within {seconds:g} s")
def step_counts(context, factor, seconds):
    fleet = context.simulation
    until = fleet.now + seconds
    try:
        while fleet.now < until:
            fleet.run(0.1)
            demands = [
                vm.quota.quotas_by_name["w0"].demand.peers for vm in fleet.running_vms()
            ]
            if max(item.decayed_per_s for item in demands) > factor * fleet.load:
                return
    except OverflowError:
        # The counts have become too large for a digest.
        return
    raise AssertionError("the counts did not exceed the limit")


@then("some workspace is admitted above its rate in the measured time")
def step_some_excess(context):
    excess = context.simulation.worst_excess(context.since)
    assert excess > 0, excess


@then("no workspace is admitted above its rate in the measured time")
def step_excess(context):
    excess = context.simulation.worst_excess(context.since)
    assert excess <= 0, excess
