"""Steps for a store that comes back from an older copy."""

from unittest.mock import patch

from anyio import current_time, fail_after, sleep
from behave import given, then, when
from httpx import AsyncClient, MockTransport, Response

from features.steps.entry_requests import start_fleet
from features.steps.entry_view import wait_settled
from features.steps.target_statements import log_lines
from primroseturn.entry.metrics import INVALID_ERAS
from primroseturn.entry.sharing import ViewStatus
from primroseturn.failures import StoreUnavailable, VersionConflict
from primroseturn.platform.objects import HistoryLost, ObjectClient
from primroseturn.platform.pages import StoreRevision

TIMEOUT_S = 10.0
VMS_PREFIX = "primroseturn-vms/"


@given("{vms:d} entry VMs whose store was copied{before}")
@given("{vms:d} entry VMs whose store was copied")
def step_vms(context, vms, before=""):
    fleet = start_fleet(context)

    async def run():
        fleet.store.era = 1
        await fleet.add_entry_target("t1", zone="a")
        await fleet.add_entry_target("t2", zone="b")
        context.copy = fleet.store.save()
        for number in range(vms):
            await fleet.add_entry(f"vm{number + 1}", evacuation_limit_s=5.0)
        await fleet.wait_entries()
        with fail_after(TIMEOUT_S):
            for kernel in fleet.kernels_by_vm.values():
                await wait_settled(kernel, vms)
        if not before:
            context.copy = fleet.store.save()

    context.portal.call(run)


async def wait_views(context, is_reached, seconds=TIMEOUT_S):
    """Wait until all views of the VMs are in a state."""
    with fail_after(seconds):
        for kernel in context.entry_fleet.kernels_by_vm.values():
            while not is_reached(kernel.find("view")):
                await sleep(0.01)


async def hold_views(context, holds, seconds):
    """Fail unless all views of the VMs are in a state for some time."""
    ends_at = current_time() + seconds
    while current_time() < ends_at:
        for vm, kernel in context.entry_fleet.kernels_by_vm.items():
            assert holds(kernel.find("view")), vm
        await sleep(0.01)


def roll_back(context):
    """Let the store come back from the copy."""
    context.portal.call(context.entry_fleet.store.roll_back, context.copy)


@when("the store comes back from the copy")
def step_roll_back(context):
    roll_back(context)


@then("no VM serves the key or returns to the former version for {seconds:g} s")
def step_key_refused(context, seconds):
    fleet = context.entry_fleet
    newest = int(fleet.configuration["version"][1:])

    async def run():
        await hold_views(context, lambda view: view.version == newest, seconds)
        for vm in fleet.kernels_by_vm:
            assert (await fleet.send_request("/lookup/1", vm)).status_code == 401

    context.portal.call(run)


@when("the first target {change} and all VMs know")
def step_change(context, change):
    fleet = context.entry_fleet

    async def run():
        if change == "is leaving":
            fleet.list_target("t1", state="draining")
        else:
            fleet.store.write("servers/t1", None)
        await wait_views(context, lambda view: not uses(view, "t1"))

    context.portal.call(run)


def uses(view, target_id):
    """Return whether a target may get requests."""
    target = view.targets_by_id.get(target_id)
    return target is not None and not target.leaving


@when("in the new era the first target {change}")
def step_return(context, change):
    born = 2 if change == "starts again" else 1

    async def run():
        context.entry_fleet.list_target("t1", born=born)

    context.portal.call(run)


@then("all VMs use the first target within {seconds:g} s")
def step_used(context, seconds):
    context.portal.call(wait_views, context, lambda view: uses(view, "t1"), seconds)


@when("the store poller forgets this and the store comes back from the copy")
def step_forget(context):
    kernels = context.entry_fleet.kernels_by_vm
    kernels["vm1"].find("view").left_starts.clear()
    roll_back(context)


@then("the other VM sends the first target nothing while its entry is that of the copy")
def step_other_vm(context):
    first, second = (
        kernel.find("view") for kernel in context.entry_fleet.kernels_by_vm.values()
    )

    async def run():
        with fail_after(TIMEOUT_S):
            while not uses(first, "t1") or second.revision.era < 2:
                await sleep(0.01)
                assert not uses(second, "t1")
        for _ in range(100):
            await sleep(0.01)
            assert not uses(second, "t1")
        context.entry_fleet.list_target("t1")
        await wait_views(context, lambda view: uses(view, "t1"))

    context.portal.call(run)


@when('another target "t3" joins and the store comes back from the copy')
def step_join(context):
    async def run():
        await context.entry_fleet.add_entry_target("t3")
        await wait_views(context, lambda view: uses(view, "t3"))

    context.portal.call(run)
    roll_back(context)


@then('all VMs use "t3" for {kept:g} s and no longer after {dropped:g} s')
def step_kept(context, kept, dropped):
    async def run():
        await hold_views(context, lambda view: uses(view, "t3"), kept)
        await wait_views(context, lambda view: not uses(view, "t3"), dropped - kept)

    context.portal.call(run)


@when('data centre "b" is evacuated and all VMs know')
def step_evacuated(context):
    change = patch("primroseturn.entry.evacuations.EVACUATION_RETURN_S", 2.0)
    change.start()
    context.cleanups.append(change.stop)

    async def run():
        context.entry_fleet.store.write("evacuations/b", {})
        await wait_views(context, lambda view: view.evacuated == {"b"})

    context.portal.call(run)


@then(
    '"b" is evacuated for {kept:g} s, and no longer {after:g} s after the time of '
    "2 s for its return"
)
def step_evacuation_kept(context, kept, after):
    async def run():
        await hold_views(context, lambda view: view.evacuated == {"b"}, kept)
        await wait_views(context, lambda view: not view.evacuated, 2.0 - kept + after)

    context.portal.call(run)


@then(
    "it gets at most {reads:d} readings and {lists:d} lists in {seconds:g} s and all "
    "VMs list anew"
)
def step_calls(context, reads, lists, seconds):
    calls = context.entry_fleet.store.calls_by_kind

    async def run():
        before = dict(calls)
        await sleep(seconds)
        found = {kind: calls[kind] - before.get(kind, 0) for kind in calls}
        assert found["read"] <= reads and found["list"] <= lists, found
        await wait_views(context, lambda view: view.revision.era == 2, 0.1)

    context.portal.call(run)


@then(
    "the store holds all VMs within {seconds:g} s, and each VM knows the others all "
    "the time"
)
def step_registered(context, seconds):
    fleet = context.entry_fleet
    names = {VMS_PREFIX + vm for vm in fleet.kernels_by_vm}

    async def run():
        assert not names & fleet.store.entries_by_key.keys()
        with fail_after(seconds):
            while not names <= fleet.store.entries_by_key.keys():
                for kernel in fleet.kernels_by_vm.values():
                    # Lists are read at intervals of seconds otherwise.
                    registry = kernel.find("vm-registry")
                    # VMs that have just announced their start are kept anyway.
                    kernel.find("fleet").start_announced_by_vm.clear()
                    registry.apply_vms(
                        registry.read_vms(await registry.list_vms(stale=False))
                    )
                    assert kernel.find("fleet").size == len(names)
                await sleep(0.05)

    context.portal.call(run)


@given("a client of a store that has stated era {era:d}")
def step_client(context, era):
    context.answers = []

    def answer(request):
        stated, body = context.answers.pop(0)
        return Response(200, json=body, headers={"Store-Era": stated})

    context.client = ObjectClient(
        AsyncClient(transport=MockTransport(answer), base_url="http://store"), 1.0
    )
    context.invalid = [None]
    context.client.invalid_era_listeners.append(
        lambda reason, _: context.invalid.append(reason)
    )
    context.client.advance_era(era)


ITEM = {"metadata": {"name": "n", "revision": 900}, "spec": {}}
PAGE = {"items": [ITEM], "more": True, "store_revision": 900}
EVENTS = {"events": [], "store_revision": 900}
FORMER, PRESENT = StoreRevision(1, 900), StoreRevision(2, 900)
CASES = {
    "an answer of era 1": ([("1", ITEM)], lambda c: c.read("k", "n")),
    'an answer of era "two"': ([("two", ITEM)], lambda c: c.read("k", "n")),
    "a list of pages of eras 2 and 3": (
        [("2", PAGE), ("3", PAGE | {"more": False})],
        lambda c: c.list_values("k"),
    ),
    "a watch from a revision of era 1": ([], lambda c: c.watch("k", FORMER, 1.0)),
    "a watch that is answered in era 3": (
        [("3", EVENTS)],
        lambda c: c.watch("k", PRESENT, 1.0),
    ),
    "a condition of era 1": ([], lambda c: c.replace("k", "n", {}, FORMER)),
}
FAILURES = {
    "a failed call": StoreUnavailable,
    "a lost history": HistoryLost,
    "a conflict": VersionConflict,
    "used": type(None),
}


@then("the client of eras treats {case} as {result}")
def step_case(context, case, result):
    context.answers, call = CASES[case]
    context.answers = list(context.answers)
    outcome, _, counted = result.replace(" without a call", "").partition(
        ", counted as "
    )

    async def run():
        try:
            found = await call(context.client)
            assert found.revision == PRESENT
        except (StoreUnavailable, HistoryLost, VersionConflict) as failure:
            return type(failure)
        return type(None)

    assert context.portal.call(run) is FAILURES[outcome]
    assert not context.answers
    assert not counted or str(context.invalid[-1]) == counted


@when('the answers state the era "{era}" for {seconds:g} s')
def step_state_era(context, era, seconds):
    context.counted_before = {
        reason: INVALID_ERAS.labels(reason)._value.get()
        for reason in ("unreadable", "decreased")
    }

    async def run():
        context.entry_fleet.store.era = era
        await sleep(seconds)
        context.entry_fleet.store.era = 1

    context.portal.call(run)


@then('the VM has logged and counted an era as "{reason}"')
def step_era_logged(context, reason):
    lines = log_lines(context, "store-era-invalid")
    assert {line["kind"] for line in lines} == {reason}, lines
    counted = INVALID_ERAS.labels(reason)._value.get()
    assert counted > context.counted_before[reason]


def revision_of(text):
    """Return the revision that an era and a number describe."""
    return StoreRevision(*map(int, text.split(":")))


@then("a status with revision {stated} is {result} than a view at {own}")
def step_compare(context, stated, result, own):
    step_vms(context, 1)
    sharing = context.entry_fleet.kernels_by_vm["vm1"].find("sharing")
    era, number = revision_of(stated)
    status = ViewStatus(
        1, 0.1, number, True, 0, number, revision_era=era, evacuations_era=era
    )
    sharing.view.revision = sharing.view.evacuations_revision = revision_of(own)
    found = sharing.has_newer_list(status), sharing.has_newer_evacuations(status)
    assert found == (result == "newer",) * 2, found


@when("another VM has stated a newer version and the store comes back from the copy")
def step_stated(context):
    kernel = context.entry_fleet.kernels_by_vm["vm1"]
    status = ViewStatus(99, 0.1, 1, True)
    context.portal.call(kernel.find("sharing").record_versions, status)
    roll_back(context)


@then("the view is not confirmed for {seconds:g} s")
def step_unconfirmed(context, seconds):
    async def run():
        # A reading that began before may still arrive.
        await sleep(0.2)
        view = context.entry_fleet.kernels_by_vm["vm1"].find("view")
        confirmed_at, read_at = view.confirmed_at, view.read_at
        await sleep(seconds)
        assert view.confirmed_at == confirmed_at and view.read_at > read_at

    context.portal.call(run)
