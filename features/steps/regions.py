"""Steps for the regions that requests may use."""

import json
from random import Random

from anyio import fail_after, sleep
from behave import given, then, when
from msgspec.structs import replace

from features.entry_fleet import KEY, route
from features.steps.entry_requests import start_fleet
from features.steps.target_statements import log_lines
from primroseturn.entry.configuration_checks import ConfigurationChecks
from primroseturn.entry.request import allowed_regions_of
from primroseturn.platform.configuration import decode_configuration
from primroseturn.routing.models import Target
from primroseturn.routing.placement import Placement, RequestTraits

SERVICE = "core"
REGIONS = {"a": "r", "b": "s", "c": "t"}
VIEW_TIMEOUT_S = 5.0


@given("a VM whose targets in three regions change their state at random")
def step_random_states(context):
    context.vm = Placement("a", REGIONS, Random(1))
    targets = [
        Target(f"{center}{number}", SERVICE, "h", 1, center, 4, False, 0.0, 1)
        for center in REGIONS
        for number in range(4)
    ]
    context.vm.update_targets(targets, 0.0)


def disturb(vm, random, now):
    """Change the state of one target, most often of one in region s."""
    name = f"{random.choice('abbbc')}{random.randrange(4)}"
    traits = RequestTraits(SERVICE, "k", True, False, 0.3)
    random.choice(
        [
            lambda: vm.record_unreachable(name, now),
            lambda: vm.record_quiet(name, 0.5, now),
            lambda: vm.record_error_response(name, now),
            lambda: vm.record_missing_response(name, now),
            lambda: vm.record_success(name, traits, 0.3, now),
            lambda: vm.record_full(name, now),
        ]
    )()


@when(
    'it chooses targets for {count:d} attempts that may use only region "{region}", '
    "{mechanism} the restriction"
)
def step_choose(context, count, region, mechanism):
    random, vm = Random(2), context.vm
    allowed = frozenset((region,)) if mechanism == "with" else None
    context.centers = []
    for number in range(count):
        now = number / 20
        disturb(vm, random, now)
        traits = RequestTraits(
            SERVICE, "k", random.random() < 0.5, random.random() < 0.2, 0.3, allowed
        )
        tried = frozenset(f"b{item}" for item in range(random.randrange(5)))
        choice = vm.choose(traits, tried, now, random.random() < 0.5)
        if choice is not None:
            context.centers.append(choice.target.data_center)


@then("{share} of them are outside the region")
def step_outside(context, share):
    # Some attempts find no target, since all of the region's are tried or unusable.
    assert len(context.centers) > 500, len(context.centers)
    outside = [center for center in context.centers if center != "b"]
    least, most = (0, 0) if share == "none" else (0.5, 1)
    assert least <= len(outside) / len(context.centers) <= most, len(outside)


@given(
    "a configuration in which the route allows {route_value} and the workspace "
    "{workspace_value}"
)
def step_configuration(context, route_value, workspace_value):
    item = route("bound", "/", "idempotent", allowed_regions=json.loads(route_value))
    tenant = {
        "name": "shop",
        "api_keys": [KEY],
        "allowed_regions": json.loads(workspace_value),
    }
    spec = {
        "version": "r1",
        "virtual_hosts": [{"host": "h", "paths": [item]}],
        "tenants": [tenant],
    }
    context.configuration = decode_configuration(spec).ok


@then("a request may use the regions {allowed}")
def step_allowed(context, allowed):
    found = allowed_regions_of(
        context.configuration.routes_by_host["h"][0],
        context.configuration.workspaces_by_name["shop"],
    )
    names = {"all": None, "none": frozenset()}
    assert found == names.get(allowed, frozenset(allowed.split(","))), found


@then("the problems of the configuration are {problems}")
def step_problems(context, problems):
    checks = ConfigurationChecks(None, REGIONS.values())
    found = [item.reason for item in context.configuration.problems]
    unknown = checks.find_unknown_regions(context.configuration)
    found += [item.reason for item in unknown]
    assert ", ".join(found) == problems or (not found and problems == "none"), found


@given('an entry VM with a target in region "r" and one in region "s" that resets half')
def step_two_regions(context):
    fleet = start_fleet(context)

    async def run():
        await fleet.add_entry_target("t1", zone="a", service="near")
        target = await fleet.add_entry_target("t2", zone="b", service="far")
        target.modes = ["ok", "reset"] * 50
        settings = fleet.settings_of("vm1")
        await fleet.start_entry(replace(settings, regions_by_data_center=REGIONS))
        await fleet.wait_entries()

    context.portal.call(run)


@when('a split route whose heavier service is in region "r" allows {value}')
def step_publish(context, value):
    fleet = context.entry_fleet
    view = fleet.kernels_by_vm["vm1"].find("view")
    paths = fleet.configuration["virtual_hosts"][0]["paths"]
    paths[:] = [item for item in paths if item["name"] != "bound"]
    split = [{"service": "near", "weight": 9}, {"service": "far", "weight": 1}]
    fields = {"traffic_split": split, "allowed_regions": json.loads(value)}
    paths.append(route("bound", "/bound/", "idempotent", **fields))

    async def run():
        fleet.publish()
        with fail_after(VIEW_TIMEOUT_S):
            while f"r{view.version}" != fleet.configuration["version"]:
                await sleep(0.02)

    context.portal.call(run)


@then('the target in region "r" received {what}')
def step_received(context, what):
    targets = context.entry_fleet.entry_targets_by_id
    assert bool(targets["t1"].heads) == (what == "requests") and targets["t2"].heads


@then('the log states "{refusal}" {count:d} times and "{reason}" once')
def step_logged(context, refusal, count, reason):
    assert [item["event"] for item in log_lines(context, refusal)] == count * [1111]
    assert [item["event"] for item in log_lines(context, reason)] == [1150]
