"""Steps for the requests that cold targets get."""

import json
from random import Random
from unittest.mock import patch

from behave import given, then, when

from features.cold_simulation import (
    BOUND,
    ColdSimulation,
    LIMITS,
    REGIONS,
    Scenario,
    SERVICE,
    TRAITS,
)
from features.steps.entry_requests import start_fleet
from features.steps.target_statements import log_lines
from primroseturn.platform.configuration import decode_configuration
from primroseturn.routing.models import Target
from primroseturn.routing.placement import NoTargetReason, Placement

BASE = Scenario(requests_per_s=700.0, starts_at=4.5, seconds=7.5)
STARTING = BASE._replace(
    # The most requests that 92 VMs receive, and few targets.
    requests_per_s=1288.0,
    targets_in_a=6,
    is_starting=True,
    lost_names=82,
    starts_at=0.0,
    seconds=4.5,
)
TROUBLES = {
    "all is well": BASE,
    "the VMs' lists of VMs differ by 5 names": BASE._replace(lost_names=5),
    "the VMs are cut in halves": BASE._replace(is_cut=True),
    "all VMs have just started": STARTING,
    "one target restarts within 1 s": BASE._replace(down_s=1.0, returning="a7"),
    "all is normal and no target restarts": BASE._replace(starts_at=None),
}


@when("targets return cold {mechanism} while {trouble}")
def step_return(context, mechanism, trouble):
    has_owners = mechanism.startswith("with owners")
    scenario = TROUBLES[trouble]._replace(has_owners=has_owners)
    settle_s = 0.0 if "first lists" in mechanism else 2.0
    with patch("primroseturn.routing.cold.LIST_SETTLE_S", settle_s):
        context.simulation = ColdSimulation(scenario).run()


@then("a cold target gets at most {most:d} requests in any second")
def step_bounded(context, most):
    simulation = context.simulation
    if simulation.scenario.starts_at is None:
        # Few targets may be held to be cold for want of requests alone.
        assert max(simulation.cold_shares) <= 0.1, simulation.cold_shares
    else:
        assert 1 <= simulation.most_cold_arrivals() <= most


@then("a cold target gets more than {most:d} requests in some second")
def step_exceeded(context, most):
    found = context.simulation.most_cold_arrivals()
    assert found > most, found


@then("no request is refused")
def step_none_refused(context):
    assert not context.simulation.refused_at, len(context.simulation.refused_at)


@given("a VM without a list of VMs and a target that it has used")
def step_known(context):
    context.vm = Placement("a", REGIONS, Random(1))
    context.vm.cold.set_bound(BOUND)
    context.vm.cold.set_limits({SERVICE: LIMITS})
    context.target = Target("t1", SERVICE, "h", 1, "a", 4, False, 0.0, 1)
    context.vm.update_targets([context.target], 99.0)
    context.vm.record_success("t1", TRAITS, 0.3, 100.0)
    assert context.vm.choose(TRAITS, frozenset(), 100.0) is not None


@when("the entry of the target states that it is cold for {seconds:g} s")
def step_entry(context, seconds):
    context.vm.update_targets([context.target._replace(cold_s=seconds)], 100.0)


@then("the VM may not use it until {seconds:g} s have passed")
def step_unusable(context, seconds):
    for tenths in range(round(10 * seconds)):
        now = 100.0 + tenths / 10
        context.vm.record_load("t1", 1, now)
        assert context.vm.choose(TRAITS, frozenset(), now) is None
        assert context.vm.find_obstacle(TRAITS, now) is NoTargetReason.COLD
    assert context.vm.choose(TRAITS, frozenset(), 100.0 + seconds) is not None


@when("a service states {start} and {rate} as its limits of cold targets")
def step_limits(context, start, rate):
    fields = {"cold_start_s": json.loads(start), "cold_per_s": json.loads(rate)}
    spec = {"version": "r1", "services": [{"name": SERVICE, **fields}]}
    context.configuration = decode_configuration(spec).ok


@then("its limits are {limits} and the problems are {problems}")
def step_decoded(context, limits, problems):
    found = context.configuration.cold_limits_by_service.get(SERVICE)
    text = f"{found.start_s:g} {found.per_s:g}" if found else "none"
    reasons = [item.reason for item in context.configuration.problems]
    assert text == limits and (", ".join(reasons) or "none") == problems, reasons


@given("an entry VM whose only target is cold for {seconds:d} s")
def step_cold_target(context, seconds):
    fleet = start_fleet(context)
    fleet.configuration["services"][0].update(cold_start_s=seconds, cold_per_s=2)

    async def run():
        await fleet.add_entry_target("t1", cold_left_s=seconds)
        # It uses the list of VMs, in which it is alone, only after 2 s.
        await fleet.add_entry("vm1", cold_overage=1.5, cold_slack=8.0)
        await fleet.wait_entries()

    fleet.publish()
    context.portal.call(run)


@then('the log names the refusal "{kind}"')
def step_refusal_logged(context, kind):
    assert [line["event"] for line in log_lines(context, kind)] == [1111]
