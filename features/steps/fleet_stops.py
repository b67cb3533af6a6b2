"""Steps for a simulated fleet whose VMs stop, start and leave."""

from collections.abc import Callable

from behave import given, then, when

from features.fleet_simulation import SimulatedFleet
from primroseturn.control.order import MessageOrder
from primroseturn.entry.digests import Digest, DigestExchange
from primroseturn.membership.fleet import Fleet

SETTLED_S = 6.0
STARTED_S = 4.0

Variant = Callable[[], tuple[type, str, object]]
variants_by_name: dict[str, Variant] = {}


def variant(name: str) -> Callable[[Variant], Variant]:
    """Register the class, name and value that take a mechanism out."""

    def register(function: Variant) -> Variant:
        variants_by_name[name] = function
        return function

    return register


@variant("without notices")
def without_notices():
    return DigestExchange, "announce", lambda self, now, is_stopping=False: None


@variant("that speaks from its start on")
def early_speakers():
    return (
        Fleet,
        "is_ineligible",
        lambda self, name, now: name in self.stop_announced_by_vm,
    )


@variant("that waits long for an aggregator")
def patient_followers():
    return Fleet, "has_timed_out", lambda self, name, now: False


@variant("that counts doubled datagrams")
def doubling_counters():
    return (
        MessageOrder,
        "check_and_record",
        lambda self, sender, now, in_order=False: None,
    )


@variant("that passes relayed counts on")
def echoing_speakers():
    take = DigestExchange.process_digest

    def take_all(self, sender, body, now):
        fields = {name: getattr(body, name) for name in body.__struct_fields__}
        take(self, sender, Digest(**{**fields, "relayed": False}), now)
        if body.relayed and sender.vm == self.fleet.aggregator(now):
            self.quota.record_reachable_count(
                max(1, self.fleet.size - body.unreachable_count), now
            )

    return DigestExchange, "process_digest", take_all


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


@given("{loss:g} of its datagrams are lost and {doubling:g} come twice and late")
def step_lossy(context, loss, doubling):
    context.simulation.loss = loss
    context.simulation.doubling = doubling


@given("its VMs run {name}")
def step_variant(context, name):
    owner, method, value = variants_by_name[name]()
    usual = getattr(owner, method)
    setattr(owner, method, value)
    context.cleanups.append(lambda: setattr(owner, method, usual))


@when("{share:g} of its VMs {way}, {count:d} each {gap:g} s, and return")
def step_series(context, share, way, count, gap):
    fleet = context.simulation
    names = sorted(fleet.vms_by_name)
    fleet.random.shuffle(names)
    act = fleet.stop if way == "stop" else fleet.kill
    for index, name in enumerate(names[: int(share * len(names))]):
        fleet.at(fleet.now + gap * (index // count), lambda name=name: act(name))


@when("{share:g} of its VMs stand still for {seconds:g} s")
def step_stand_still(context, share, seconds):
    fleet = context.simulation
    names = sorted(fleet.vms_by_name)
    for name in fleet.random.sample(names, int(share * len(names))):
        fleet.stand_still(name, seconds)


@when("{loss} happens")
def step_loss(context, loss):
    fleet = context.simulation
    names = sorted(fleet.vms_by_name)
    if loss == "a kill of half of the VMs":
        lost, returns = fleet.random.sample(names, len(names) // 2), True
    else:
        returns = False
        first = [name for name in names if name.startswith("a1")]
        other = [name for name in names if name.startswith("b1")]
        lost = {
            "the loss of an aggregator": first[:1],
            "the loss of two aggregators in two data centres": first[:2] + other[:2],
            "the loss of a data centre": first,
        }[loss]
    for name in lost:
        fleet.kill(name, returns)


@when("{seconds:g} s pass in the simulation")
def step_pass(context, seconds):
    context.simulation.run(seconds)


@given("callers that have asked {factor:g} times as much for {seconds:g} s")
def step_asked_more(context, factor, seconds):
    fleet = context.simulation
    fleet.factor = factor
    fleet.run(seconds)
    context.since = fleet.now


@when("callers ask {factor:g} times as much for {seconds:g} s")
def step_ask_more(context, factor, seconds):
    fleet = context.simulation
    fleet.factor = factor
    fleet.run(seconds)
    context.since = fleet.now - seconds


@when("its regions are cut off from each other")
def step_cut(context):
    fleet = context.simulation
    fleet.sides_by_name = {name: int(name[0] == "a") for name in fleet.vms_by_name}


@then("less than {share:g} of the requests are refused in any 2 s")
def step_windows(context, share):
    found = context.simulation.refused_by_window(context.since)
    assert max(found.values()) < share, found


@then("less than {share:g} of the requests are refused in any 2 s from 1 s later on")
def step_windows_later(context, share):
    found = context.simulation.refused_by_window(context.since + 1.0)
    assert max(found.values()) < share, found


@then("less than {share:g} of the requests are refused")
def step_share(context, share):
    fleet = context.simulation
    asked = sum(at >= context.since for at in fleet.asked)
    refused = [item for item in fleet.refused if item.at >= context.since]
    assert len(refused) < share * asked, refused


@then("more than {share:g} of the requests are refused in some 2 s")
def step_caught(context, share):
    found = context.simulation.refused_by_window(context.since)
    assert max(found.values()) > share, found


@then("its VMs count over {factor:d} times the requests within {seconds:g} s")
def step_counts(context, factor, seconds):
    fleet = context.simulation
    until = fleet.now + seconds
    try:
        while fleet.now < until:
            fleet.run(0.1)
            demands = [
                vm.quota.buckets_by_name["w0"].peer_demand for vm in fleet.living()
            ]
            if max(item.decayed_per_s for item in demands) > factor * fleet.load:
                return
    except OverflowError:
        # The counts no longer fit a digest.
        return
    raise AssertionError("the counts stay within the requests")


@then("no workspace gets more than its rate since then")
def step_excess(context):
    excess = context.simulation.worst_excess(context.since)
    assert excess <= 0, excess
