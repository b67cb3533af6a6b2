"""Steps for evacuated data centres."""

from unittest.mock import patch

from anyio import create_task_group, current_time, fail_after, sleep
from behave import given, then, when
from msgspec import Raw
from msgspec.msgpack import decode, encode

from features.steps.entry_requests import start_fleet
from features.steps.entry_view import wait_settled
from features.steps.late_versions import (
    change_before_failure,
    inject_by_fault,
    replace,
)
from features.steps.target_statements import log_lines
from primroseturn.entry.metrics import SKIPPED_EVACUATIONS
from primroseturn.entry.sharing import ViewSharing, ViewStatus
from primroseturn.failures import StoreUnavailable
from primroseturn.platform.pages import StoreRevision

LIMIT_S, TIMEOUT_S = 5.0, 10.0
KEY = "evacuations/b"
ODD_OBJECTS = {
    'an evacuation of "nowhere"': ("nowhere", {}),
    'an evacuation of "a" that is no object': ("a", [1]),
    'an unreadable evacuation of "a"': ("a", Raw(b'{"x":1e400}')),
}


@given("{vms:d} entry VMs where data centres may be evacuated")
@given("{vms:d} entry VMs where data centres may be evacuated, and one VM in {other}")
def step_vms(context, vms, other=None):
    fleet = start_fleet(context)

    async def run():
        await fleet.add_entry_target("t1", zone="a")
        await fleet.add_entry_target("t2", zone="b")
        names = [f"vm{number + 1}" for number in range(vms)]
        for name in names:
            await fleet.add_entry(name, evacuation_limit_s=LIMIT_S)
        if other is not None:
            await fleet.add_entry("vm9", "b", evacuation_limit_s=LIMIT_S)
        await fleet.wait_entries()
        with fail_after(TIMEOUT_S):
            for name in names:
                await wait_settled(fleet.kernels_by_vm[name], vms)

    context.portal.call(run)


async def write(context, value, key=KEY):
    """Write an object to the store."""
    context.changed_at = current_time()
    context.entry_fleet.store.write(key, value)


@when('data centre "b" is evacuated')
def step_evacuate(context):
    context.portal.call(write, context, {})


@when('the evacuation of "b" is removed')
def step_remove(context):
    context.portal.call(write, context, None)


async def count_at_b(context, vms):
    """Return how many of 20 requests to each VM reach the target of "b"."""
    heads = context.entry_fleet.entry_targets_by_id["t2"].heads
    before = len(heads)
    for vm in vms:
        for _ in range(20):
            await context.entry_fleet.send_request("/lookup/1", vm)
    return len(heads) - before


@given('target "t1" is unlisted')
def step_unlist(context):
    context.portal.call(context.entry_fleet.store.write, "servers/t1", None)


@then('{who} VM sends requests to "b" {seconds:g} s later')
def step_sent(context, who, seconds):
    context.portal.call(sleep, seconds)
    for vm in context.entry_fleet.kernels_by_vm:
        found = context.portal.call(count_at_b, context, [vm])
        assert (found > 0) == (who == "every"), (vm, found)


@when('"b" is evacuated and the first {count:d} VMs {name} before they have read it')
def step_pollers_fail(context, count, name):
    store = context.entry_fleet.store

    def evacuate():
        store.faults.silent_watches = True
        store.wake_watches()
        store.write(KEY, {})

    context.portal.call(change_before_failure, context, count, name, evacuate)


@when('the VMs of "a" lose the store and "b" is evacuated')
def step_center_cut(context):
    context.running_by_vm = context.entry_fleet.kernels_by_vm
    for vm, kernel in context.running_by_vm.items():
        if vm != "vm9":
            inject_by_fault["lose the store"](context, kernel)
    # Watches that wait would still receive the evacuation.
    context.portal.call(context.entry_fleet.store.cut_watches)
    context.portal.call(sleep, 0.1)
    step_evacuate(context)


@then('"b" is evacuated at all other VMs within {seconds:g} s of its acknowledgement')
def step_in_force(context, seconds):
    async def run():
        with fail_after(context.changed_at + seconds - current_time()):
            for kernel in context.running_by_vm.values():
                while "b" not in kernel.find("view").evacuated:
                    await sleep(0.01)
        assert await count_at_b(context, context.running_by_vm) == 0

    context.portal.call(run)


@then("a request under way is served and a further one is refused within {limit:g} s")
def step_all(context, limit):
    fleet = context.entry_fleet
    responses = []

    async def send():
        started_at = current_time()
        response = await fleet.send_request("/order/1", method="POST")
        responses.append((response.status_code, current_time() - started_at))

    async def run():
        for target in fleet.entry_targets_by_id.values():
            target.work_s = 0.6
        async with create_task_group() as tasks:
            tasks.start_soon(send)
            await sleep(0.2)
            await write(context, {}, "evacuations/a")
            await sleep(0.2)
            tasks.start_soon(send)

    context.portal.call(run)
    (refused, after_s), (served, _) = responses
    assert (refused, served) == (503, 200) and after_s <= limit, responses


@when("a VM starts whose first list of evacuations takes {seconds:g} s")
def step_start(context, seconds):
    fleet = context.entry_fleet

    async def run():
        inject_by_fault["end"](context, fleet.kernels_by_vm["vm1"])
        kernel = await fleet.add_entry("vm2", evacuation_limit_s=LIMIT_S)
        follower, readiness = kernel.find("follower"), kernel.find("entry-readiness")
        read_list = follower.evacuations.read_list

        async def read_late():
            await sleep(seconds)
            await read_list()

        follower.evacuations.read_list = read_late
        with fail_after(TIMEOUT_S):
            while not follower.view.targets_by_id:
                await sleep(0.01)
            response = await fleet.send_request("/lookup/1", "vm2")
            context.found = response.status_code, readiness.reason()
            while readiness.reason() is not None:
                await sleep(0.01)
        assert await count_at_b(context, ["vm2"]) == 0
        assert (await fleet.send_request("/lookup/1", "vm2")).status_code == 200

    context.portal.call(run)


@then("it refuses requests and is not ready until it knows the evacuations")
def step_start_refuses(context):
    assert context.found == (503, "evacuations not known"), context.found


@when("the store holds {oddity}")
def step_odd(context, oddity):
    name, value = ODD_OBJECTS[oddity]
    context.portal.call(write, context, value, f"evacuations/{name}")


@then('the evacuation was skipped as "{reason}" and nothing else is evacuated')
def step_skipped(context, reason):
    view = context.entry_fleet.kernels_by_vm["vm1"].find("view")
    assert view.evacuated == {"b"}, view.evacuated
    lines = log_lines(context, "evacuation-skipped")
    assert [line["kind"] for line in lines] == [reason], lines
    assert SKIPPED_EVACUATIONS.labels(reason)._value.get() >= 1


@when("reading the evacuations {fault} at all VMs")
def step_unread(context, fault):
    def break_reading(kernel):
        objects = kernel.find("objects")
        call = objects.call

        async def fail(method, path, timeout_s=None, **options):
            if not path.endswith("evacuations"):
                return await call(method, path, timeout_s, **options)
            if fault == "fails in this VM":
                raise LookupError("injected fault")
            if fault == "gets no response":
                await sleep(timeout_s or objects.call_limit_s)
            failure = StoreUnavailable(f"{method} {path}", "status 500", False)
            objects.notify_failure(failure)
            raise failure

        replace(context, objects, "call", fail)

    async def run():
        kernels = context.entry_fleet.kernels_by_vm.values()
        for kernel in kernels:
            break_reading(kernel)
        # The watches that wait end, so that each VM meets the fault.
        await write(context, {}, "evacuations/nowhere")
        for _ in range(100):
            await sleep(0.01)
            for kernel in kernels:
                assert kernel.find("follower").contact.lost_at is None

    context.portal.call(run)


@then("two VMs of which each has something newer {result} with {revisions}")
def step_merge(context, result, revisions):
    step_vms(context, 2)
    kernels = list(context.entry_fleet.kernels_by_vm.values())
    if revisions == "the revision of the list":
        broken = ViewSharing.has_newer_list
        change = patch.object(ViewSharing, "has_newer_evacuations", broken)
        change.start()
        context.cleanups.append(change.stop)

    async def run():
        for kernel in kernels:
            inject_by_fault["lose the store"](context, kernel)
        first, second = (kernel.find("follower") for kernel in kernels)
        newer = StoreRevision(0, first.view.revision.number + 100)
        first.targets.apply_targets({"t1": first.view.targets_by_id["t1"]}, newer)
        second.evacuations.put_in_force({"b"}, newer, "store")
        await kernels[0].find("sharing").query("vm2")
        await kernels[1].find("sharing").query("vm1")
        views = [first.view, second.view]
        return [(set(view.targets_by_id), set(view.evacuated)) for view in views]

    found = context.portal.call(run)
    assert (found == [({"t1"}, {"b"})] * 2) == (result == "merge"), found


@then("a VM that follows evacuations does not rely on a status of the former version")
def step_former(context):
    former = [1, 0.1, 5, True, 0]
    status = decode(encode(former), type=ViewStatus)
    assert status == ViewStatus(*former, evacuations_revision=-1)
    step_vms(context, 1)
    sharing = context.entry_fleet.kernels_by_vm["vm1"].find("sharing")
    assert not sharing.can_poll_for(status)
