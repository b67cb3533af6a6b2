"""Steps for the view of an entry VM and its age."""

from time import CLOCK_BOOTTIME, clock_gettime
from typing import NamedTuple
from unittest.mock import patch

from anyio import current_time, fail_after, sleep
from behave import given, then, when
from hypothesis import find, given as for_all, settings, strategies

from features.entry_fleet import KEY
from features.steps.entry_requests import start_fleet
from primroseturn.clock import time_since_boot
from primroseturn.entry.models import CallerLimits, Configuration
from primroseturn.entry.view import VmView
from primroseturn.failures import StoreUnavailable

REVOKED_KEY_LIMIT_S = 5.0
TOLERANCE_S = 0.05
SETTLE_TIMEOUT_S = 10.0


def configuration(version):
    """Return an empty configuration of a version."""
    return Configuration(version, True, {}, {}, {}, {}, CallerLimits(1, 1, 1, 1))


@given("a view that was confirmed {age:g} s ago")
def step_confirmed(context, age):
    context.view = VmView(REVOKED_KEY_LIMIT_S)
    context.view.apply_configuration(configuration(7), None)
    context.view.confirm(7, time_since_boot() - age)


@when(
    "another VM confirms {version} version with an age of {age:g} s, queried "
    "{queried:g} s ago"
)
def step_confirm(context, version, age, queried):
    number = 7 if version == "the same" else 6
    context.view.confirm(number, time_since_boot() - queried - age)


@then("the view is {age:g} s old")
def step_view_age(context, age):
    found = context.view.age_s(time_since_boot())
    assert abs(found - age) < TOLERANCE_S, found


@then("its keys are accepted")
def step_keys_accepted(context):
    assert context.view.can_check_keys(time_since_boot())


@then("its keys are refused")
def step_view_keys_refused(context):
    assert not context.view.can_check_keys(time_since_boot())


class ViewPoll(NamedTuple):
    """A request of one of two VMs to the store or to the other VM.

    Attributes
    ----------
    vm
        Index of the VM that sends the request.
    queries_store
        Whether it sends the request to the store.
    pause_s
        Time in seconds until the request.
    store_s
        Time in seconds from the request to the state that the response holds.
    back_s
        Time in seconds from then until the response arrives.
    withdraws
        Whether the store gets a version without a key before the request.
    """

    vm: int
    queries_store: bool
    pause_s: float
    store_s: float
    back_s: float
    withdraws: bool


POLLS = strategies.lists(
    strategies.builds(
        ViewPoll,
        strategies.integers(0, 1),
        strategies.booleans(),
        strategies.floats(0, 6),
        strategies.floats(0, 6),
        strategies.floats(0, 6),
        strategies.booleans(),
    ),
    max_size=12,
)


def replay_polls(polls, start):
    """Replay polls, and fail if a view accepts a withdrawn key for too long.

    Parameters
    ----------
    start
        From when the age of a view is counted; ``the request`` is correct.
    """
    views = [VmView(REVOKED_KEY_LIMIT_S), VmView(REVOKED_KEY_LIMIT_S)]
    now, version = 0.0, 1
    replaced_at = {}

    def check():
        for view in views:
            at = replaced_at.get(view.version)
            if at is not None and now > at + REVOKED_KEY_LIMIT_S:
                assert not view.can_check_keys(now), (view.version, now - at)

    for poll in polls:
        now += poll.pause_s
        check()
        if poll.withdraws:
            replaced_at[version] = now
            version += 1
        requested_at = now
        now += poll.store_s
        check()
        view, other = views[poll.vm], views[1 - poll.vm]
        stated_version, age_s = version, 0.0
        if not poll.queries_store:
            stated_version, age_s = other.version, other.age_s(now)
        now += poll.back_s
        if stated_version == 0 or age_s == float("inf"):
            continue
        confirmed_from = requested_at
        if start == "the response" or (
            start == "the received status" and not poll.queries_store
        ):
            confirmed_from = now
        view.apply_configuration(configuration(stated_version), None)
        view.confirm(stated_version, confirmed_from - age_s)
        check()


@then(
    "in any sequence of late responses and statuses no withdrawn key is accepted for "
    "too long"
)
def step_views_hold(context):
    @settings(max_examples=500, derandomize=True, database=None, deadline=None)
    @for_all(POLLS)
    def check(polls):
        replay_polls(polls, "the request")

    check()


@then(
    "in some sequence views that count their age from {start} accept a withdrawn key "
    "for too long"
)
def step_views_caught(context, start):
    def is_caught(polls):
        try:
            replay_polls(polls, start)
        except AssertionError:
            return True
        return False

    find_settings = settings(
        max_examples=2000, derandomize=True, database=None, deadline=None
    )
    assert find(POLLS, is_caught, settings=find_settings)


@given("a view with version {version:d}")
def step_version(context, version):
    context.view = VmView(REVOKED_KEY_LIMIT_S)
    context.view.apply_configuration(configuration(version), None)


@when("version {version:d} arrives")
def step_arrives(context, version):
    assert not context.view.apply_configuration(configuration(version), None)


@then("version {version:d} is in force")
def step_in_force(context, version):
    assert context.view.version == version


async def wait_settled(kernel, vms):
    """Wait until a VM is the aggregator or relies on another VM's view."""
    members, polling_pause = kernel.find("fleet"), kernel.find("follower").polling_pause
    # Before the first list, the members of the fleet are unknown.
    while not members.has_list:
        await sleep(0.02)
    while not members.is_aggregator(current_time()) and not polling_pause.is_active():
        await sleep(0.02)
    if vms > 1:
        while not members.last_seen_by_vm:
            await sleep(0.02)


@given("{vms:d} entry VMs with {targets:d} target")
@given("{vms:d} entry VMs with {targets:d} targets")
def step_vms(context, vms, targets, **bounds):
    fleet = start_fleet(context)

    async def run():
        for number in range(1, targets + 1):
            await fleet.add_entry_target(f"t{number}")
        for number in range(1, vms + 1):
            await fleet.add_entry(f"vm{number}", **bounds)
        await fleet.wait_entries()
        with fail_after(SETTLE_TIMEOUT_S):
            for kernel in fleet.kernels_by_vm.values():
                await wait_settled(kernel, len(fleet.kernels_by_vm))

    context.portal.call(run)


@given("{vms:d} entry VMs with {targets:d} targets and {limit:g} s for a version")
def step_vms_with_limit(context, vms, targets, limit):
    step_vms(context, vms, targets, version_limit_s=limit, leaving_limit_s=limit)


@then("the store gets at most {limit:d} calls in {seconds:g} s")
def step_calls(context, limit, seconds):
    store = context.entry_fleet.store

    async def run():
        before = sum(store.calls_by_kind.values())
        await sleep(seconds)
        return sum(store.calls_by_kind.values()) - before

    found = context.portal.call(run)
    assert found <= limit, (found, store.calls_by_kind)


@when("the store poller is stopped")
def step_stop_store_poller(context):
    context.portal.call(context.entry_fleet.stop, "vm1")
    del context.entry_fleet.kernels_by_vm["vm1"]


@when("the configuration withdraws the key of a caller")
def step_withdraw(context):
    async def run():
        withdraw_key(context.entry_fleet)
        context.changed_at = current_time()

    context.portal.call(run)


def withdraw_key(fleet):
    """Withdraw the key of a caller in a new version."""
    for workspace in fleet.configuration["tenants"]:
        workspace["api_keys"] = ["another-key"]
    fleet.publish()


@then("every VM refuses the key within {seconds:g} s")
def step_refused(context, seconds):
    fleet = context.entry_fleet

    async def run():
        with fail_after(seconds):
            for vm in fleet.kernels_by_vm:
                while (await fleet.send_request("/lookup/1", vm)).status_code != 401:
                    await sleep(0.02)

    context.portal.call(run)


@when("the store is unavailable for {seconds:g} s")
def step_unavailable_for(context, seconds):
    async def run():
        store = context.entry_fleet.store
        store.faults.outage = True
        store.wake_watches()
        before = sum(store.calls_by_kind.values())
        await sleep(seconds)
        context.outage_calls = sum(store.calls_by_kind.values()) - before

    context.portal.call(run)


@when("the store is unavailable")
def step_unavailable(context):
    async def run():
        context.entry_fleet.store.faults.outage = True
        context.entry_fleet.store.wake_watches()

    context.portal.call(run)


@when("the store does not respond for {seconds:g} s")
def step_unresponsive(context, seconds):
    async def run():
        context.entry_fleet.store.faults.hang = True
        await sleep(seconds)

    context.portal.call(run)


@when(
    "the VM was suspended for {seconds:g} s, in which its monotonic clock stood still"
)
def step_suspended(context, seconds):
    def read(clock):
        return clock_gettime(clock) + (seconds if clock == CLOCK_BOOTTIME else 0.0)

    change = patch("primroseturn.clock.clock_gettime", read)
    change.start()
    context.cleanups.append(change.stop)


@then("a request with a key gets {status:d}")
def step_request_with_key(context, status):
    response = context.portal.call(context.entry_fleet.send_request, "/lookup/1")
    assert response.status_code == status, response.text


@when("a caller starts {method} {path:S} and its key is withdrawn before the body ends")
def step_withdraw_midway(context, method, path):
    fleet = context.entry_fleet
    view = fleet.kernels_by_vm["vm1"].find("view")

    async def parts():
        yield b"start"
        await sleep(0.1)
        for workspace in fleet.configuration["tenants"]:
            workspace["api_keys"] = ["another-key"]
        fleet.publish()
        with fail_after(2.0):
            while f"r{view.version}" != fleet.configuration["version"]:
                await sleep(0.01)
        yield b"end"

    async def run():
        return await fleet.send_request(
            path, method=method, content=parts(), wait_ms=5000
        )

    context.response = context.portal.call(run)


@then("the request is refused and no target received it")
def step_not_sent(context):
    assert context.response.status_code in (401, 503), context.response.text
    targets = context.entry_fleet.entry_targets_by_id.values()
    heads = [head for target in targets for head in target.heads]
    assert not heads, heads


@when("serializable reads of the store return an old state")
def step_stale_reads(context):
    context.entry_fleet.store.serve_stale_lists(True)


@when("another target joins")
def step_joins(context):
    context.portal.call(context.entry_fleet.add_entry_target, "t2")


@then("it received at most {limit:d} calls meanwhile")
def step_calls_received(context, limit):
    assert context.outage_calls <= limit, context.outage_calls


@when("the store responds again")
def step_available(context):
    faults = context.entry_fleet.store.faults
    faults.outage = faults.hang = False


@then("every VM refuses keys with 503, serves open routes and is not ready")
def step_keys_refused(context):
    fleet = context.entry_fleet

    async def run():
        for vm, kernel in fleet.kernels_by_vm.items():
            response = await fleet.send_request("/lookup/1", vm)
            assert response.status_code == 503, response.status_code
            # The key may have been withdrawn, so no target may act for its workspace.
            for key in (None, KEY):
                response = await fleet.send_request("/open/1", vm, key=key)
                assert response.status_code == 200, response.status_code
                targets = fleet.entry_targets_by_id.values()
                heads = [head for target in targets for head in target.heads]
                assert "tenant" not in heads[-1][2], heads[-1]
            reason = kernel.find("entry-readiness").reason()
            assert reason == "keys not confirmed", reason

    context.portal.call(run)


@then("every VM serves within {seconds:g} s")
def step_serves(context, seconds):
    fleet = context.entry_fleet

    async def run():
        with fail_after(seconds):
            for vm in fleet.kernels_by_vm:
                while (await fleet.send_request("/lookup/1", vm)).status_code != 200:
                    await sleep(0.02)

    context.portal.call(run)


@when("the store rejects all calls of the store poller")
def step_calls_rejected(context):
    objects = context.entry_fleet.kernels_by_vm["vm1"].find("objects")

    async def refuse(method, path, limit_s=None, **options):
        failure = StoreUnavailable(f"{method} {path}", "status 503", False)
        objects.notify_failure(failure)
        raise failure

    change = patch.object(objects, "call", refuse)
    change.start()
    context.cleanups.append(change.stop)


@then("no VM refuses keys because its view is old")
def step_no_stale_view(context):
    fleet = context.entry_fleet

    async def run():
        for _ in range(20):
            for vm in fleet.kernels_by_vm:
                response = await fleet.send_request("/lookup/1", vm, key="another-key")
                assert response.status_code == 200, response.text
            await sleep(0.1)

    context.portal.call(run)


@when("the first target reports that it leaves")
def step_leaves(context):
    async def run():
        context.entry_fleet.list_target("t1", state="draining")

    context.portal.call(run)


@when("the entry of the first target is removed")
def step_removed(context):
    async def run():
        context.entry_fleet.store.write("servers/t1", None)

    context.portal.call(run)


@then("no VM sends it requests {seconds:g} s later")
def step_no_requests(context, seconds):
    assert count_requests(context, context.entry_fleet.kernels_by_vm, seconds) == 0


def count_requests(context, vms, after_s):
    """Return how many of the requests to VMs reach the first target after a pause."""
    fleet = context.entry_fleet
    target = fleet.entry_targets_by_id["t1"]

    async def run():
        await sleep(after_s)
        before = len(target.heads)
        for _ in range(20):
            for vm in vms:
                await fleet.send_request("/lookup/1", vm)
        return len(target.heads) - before

    return context.portal.call(run)


@when(
    "the store is unavailable for {seconds:g} s and the entry of the first target "
    "lapses"
)
def step_lapse(context, seconds):
    async def run():
        store = context.entry_fleet.store
        store.faults.outage = True
        store.wake_watches()
        await sleep(seconds)
        store.write("servers/t1", None)
        store.faults.outage = False

    context.portal.call(run)


@then("the target is still listed {seconds:g} s after the store's return")
def step_still_listed(context, seconds):
    async def run():
        await sleep(seconds)
        (kernel,) = context.entry_fleet.kernels_by_vm.values()
        return set(kernel.find("view").targets_by_id)

    assert context.portal.call(run) == {"t1", "t2"}


@when(
    "watches report nothing for {seconds:g} s while a target joins and the history is"
    " dropped"
)
def step_history_dropped(context, seconds):
    fleet = context.entry_fleet

    async def run():
        fleet.store.faults.silent_watches = True
        fleet.store.wake_watches()
        await fleet.add_entry_target("t2")
        await sleep(seconds)
        fleet.store.drop_history()
        fleet.store.faults.silent_watches = False

    context.portal.call(run)


@then("every VM knows {count:d} targets within {seconds:g} s")
def step_known_targets(context, count, seconds):
    async def run():
        with fail_after(seconds):
            for kernel in context.entry_fleet.kernels_by_vm.values():
                while len(kernel.find("view").targets_by_id) != count:
                    await sleep(0.02)

    context.portal.call(run)


@when("entries with wrong types, with missing fields or without a JSON object appear")
def step_broken_entries(context):
    store = context.entry_fleet.store
    good = store.entries_by_key["servers/t1"].value

    async def run():
        store.write("servers/x1", {**good, "slots": "many"})
        store.write("servers/x2", {**good, "state": "resting"})
        store.write("servers/x3", {"service": "core"})
        store.write("servers/x4", b"\xff\xfe not an entry")
        store.write("servers/x5", {**good, "address": "nowhere"})
        store.write("servers/x6", [1, 2])
        await sleep(0.3)

    context.portal.call(run)


@when("a configuration of the wrong type appears")
def step_broken_configuration(context):
    async def run():
        context.entry_fleet.store.write("config/main", {"version": ["r9"]})
        await sleep(1.0)

    context.portal.call(run)


@then("a request is served")
def step_served(context):
    response = context.portal.call(context.entry_fleet.send_request, "/lookup/1")
    assert response.status_code == 200 and KEY, response.text
