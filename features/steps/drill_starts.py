"""Steps for VMs that start around a drill, in which the store loses its last writes."""

from math import inf
from unittest.mock import patch

from anyio import current_time, fail_after, sleep
from behave import given, then, when

from features.entry_fleet import KEY
from features.steps.entry_requests import start_fleet
from features.steps.entry_view import wait_settled, withdraw_key
from features.steps.late_versions import inject_by_fault, silence_peers, silence_store
from features.steps.store_rollback import hold_views, roll_back, uses, wait_views
from primroseturn.clock import time_since_boot
from primroseturn.entry.confirmations import STORE_SOURCE
from primroseturn.entry.era_record import EraRecord, ERAS_KIND, SETTLED_NAME
from primroseturn.entry.polling import ReadVersion
from primroseturn.entry.sharing import ViewStatus
from primroseturn.platform.pages import NO_REVISION, StoredValue, StoreRevision

TIMEOUT_S = 10.0
OTHER_KEY = "another-key"
# Seconds between the end of a VM and its start, and between two parts of a series.
RESTART_DELAY_S, SERIES_S = 0.1, 1.5
CHECK_INTERVAL_S = 0.02
RECORD_KEY = f"{ERAS_KIND}/{SETTLED_NAME}"
CENTERS_BY_VM = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
VMS_BY_WORDS = {
    'the VMs of "a"': ["a1", "a2"],
    "one VM of each": ["a1", "b1"],
    "all VMs": ["a1", "a2", "b1", "b2"],
    "no VMs": [],
}


def start_vms(context, era, key_limit_s=5.0, **bounds):
    """Start two VMs in each data centre and copy the store, which states an era."""
    fleet = start_fleet(context)

    async def run():
        fleet.store.era = era
        fleet.configuration["tenants"][0]["api_keys"] = [KEY, OTHER_KEY]
        fleet.publish()
        await fleet.add_entry_target("t1", zone="a")
        await fleet.add_entry_target("t2", zone="b")
        for vm, center in CENTERS_BY_VM.items():
            await fleet.add_entry(vm, center, revoked_key_limit_s=key_limit_s, **bounds)
        await fleet.wait_entries()
        with fail_after(TIMEOUT_S):
            for kernel in fleet.kernels_by_vm.values():
                await wait_settled(kernel, 2)
        context.copy = fleet.store.save()

    context.portal.call(run)


@given("2 entry VMs in each data centre whose store was copied")
def step_copied(context):
    start_vms(context, 1)


@given("2 entry VMs in each data centre whose keys work for {seconds:g} s in an outage")
def step_long_limit(context, seconds):
    start_vms(context, 1, seconds)


@given("2 entry VMs in each data centre with evacuations whose store was copied")
def step_with_evacuations(context):
    start_vms(context, 1, evacuation_limit_s=5.0)


@given("2 entry VMs in each data centre whose store states {era}")
def step_era(context, era):
    start_vms(context, None if era == "era 0" else 3)
    if era != "a settled era":
        return
    store = context.entry_fleet.store

    async def run():
        with fail_after(TIMEOUT_S):
            while RECORD_KEY not in store.entries_by_key:
                await sleep(CHECK_INTERVAL_S)

    context.portal.call(run)


@given("the operator has {seconds:g} s to write again")
def step_return_time(context, seconds):
    change = patch("primroseturn.entry.eras.VERSION_RETURN_S", seconds)
    change.start()
    context.cleanups.append(change.stop)


@given("entries return within {seconds:g} s")
def step_entry_return(context, seconds):
    change = patch("primroseturn.entry.lapsed.LAPSED_ENTRY_RETURN_S", seconds)
    change.start()
    context.cleanups.append(change.stop)


async def end(context, vms):
    """End VMs without an orderly stop, as far as the store and the others can see."""
    fleet = context.entry_fleet
    for vm in vms:
        inject_by_fault["end"](context, fleet.kernels_by_vm.pop(vm))
        stop, _ = fleet.stop_events_by_name.pop(vm)
        stop.set()
    await sleep(RESTART_DELAY_S)


async def start(context, vms):
    """Start VMs again."""
    for vm in vms:
        await context.entry_fleet.start_entry(context.entry_fleet.settings_by_vm[vm])


@when("{words} end and start again")
def step_end(context, words):
    async def run():
        await end(context, VMS_BY_WORDS[words])
        await start(context, VMS_BY_WORDS[words])

    context.portal.call(run)


@when("{words} end {moment} the store comes back from the copy and start again")
def step_end_around(context, words, moment):
    first, then_b, _ = words.partition(', then "b"')

    async def run():
        vms = VMS_BY_WORDS[first]
        if moment == "before":
            await end(context, vms)
        context.entry_fleet.store.roll_back(context.copy)
        if moment == "after":
            await sleep(0.3)
            await end(context, vms)
        await start(context, vms)
        if then_b:
            await sleep(SERIES_S)
            await end(context, ["b1", "b2"])
            await start(context, ["b1", "b2"])

    context.portal.call(run)


@when("the store comes back from the copy and all VMs are stopped and started")
def step_stop_all(context):
    fleet = context.entry_fleet

    async def run():
        fleet.store.roll_back(context.copy)
        await sleep(0.3)
        for vm in CENTERS_BY_VM:
            fleet.tasks.start_soon(fleet.stop, vm)
        with fail_after(TIMEOUT_S):
            while fleet.stop_events_by_name.keys() & CENTERS_BY_VM.keys():
                await sleep(CHECK_INTERVAL_S)
        # A stop of 2 s has ended by then, with the removal of the VM's object.
        await sleep(2.0)
        await start(context, CENTERS_BY_VM)

    context.portal.call(run)


@when('the VMs of "b" are cut off for {seconds:g} s, in which the key is withdrawn')
def step_cut(context, seconds):
    fleet = context.entry_fleet

    async def run():
        changes = []
        for vm in ("b1", "b2"):
            kernel = fleet.kernels_by_vm[vm]
            changes += [silence_store(context, kernel), *silence_peers(context, kernel)]
        withdraw_key(fleet)
        context.changed_at = current_time()
        await sleep(seconds)
        for change in changes:
            change.stop()

    context.portal.call(run)


@when('the VMs of "b" are silent for {seconds:g} s')
def step_silent(context, seconds):
    fleet = context.entry_fleet

    async def restore(changes):
        await sleep(seconds)
        for change in changes:
            change.stop()

    async def run():
        changes = []
        for vm in ("b1", "b2"):
            changes += silence_peers(context, fleet.kernels_by_vm[vm])
        fleet.tasks.start_soon(restore, changes)

    context.portal.call(run)


@when("the configuration adds a key of a caller")
def step_add(context):
    fleet = context.entry_fleet

    async def run():
        tenant = fleet.configuration["tenants"][0]
        keys = [*tenant["api_keys"], "added-key"]
        fleet.configuration["tenants"] = [{**tenant, "api_keys": keys}]
        fleet.publish()
        with fail_after(TIMEOUT_S):
            for vm in CENTERS_BY_VM:
                while await status_of(fleet, vm, "added-key") != 200:
                    await sleep(CHECK_INTERVAL_S)

    context.portal.call(run)


@when("the operator writes the configuration again")
def step_rewrite(context):
    fleet = context.entry_fleet
    context.portal.call(fleet.store.write, "config/main", fleet.configuration)


async def status_of(fleet, vm, key):
    """Return the status of a request with a key."""
    response = await fleet.send_request("/lookup/1", vm, key=key)
    return response.status_code


async def collect(context, key, seconds):
    """Return the statuses by VM of requests that are sent all the time."""
    statuses_by_vm = {vm: [] for vm in CENTERS_BY_VM}
    ends_at = current_time() + seconds
    while current_time() < ends_at:
        for vm, statuses in statuses_by_vm.items():
            statuses.append(await status_of(context.entry_fleet, vm, key))
        await sleep(CHECK_INTERVAL_S)
    return statuses_by_vm


@then("for {seconds:g} s no VM serves the key, and {serving}")
def step_not_served(context, seconds, serving):
    fleet = context.entry_fleet

    async def run():
        statuses_by_vm = await collect(context, KEY, seconds)
        for vm, statuses in statuses_by_vm.items():
            assert set(statuses) <= {401, 503}, (vm, statuses)
        for vm in statuses_by_vm:
            status = await status_of(fleet, vm, OTHER_KEY)
            knows = serving == "all VMs serve the other key"
            assert status == (200 if knows else 503), (vm, status)

    context.portal.call(run)


@then("for {seconds:g} s no VM serves the key later than 5 s after the withdrawal")
def step_not_served_late(context, seconds):
    async def run():
        await sleep(max(0.0, context.changed_at + 5.0 - current_time()))
        statuses_by_vm = await collect(context, KEY, seconds)
        for vm, statuses in statuses_by_vm.items():
            assert set(statuses) <= {401, 503}, (vm, statuses)

    context.portal.call(run)


@then("for {seconds:g} s no VM refuses the added key with 401")
def step_not_unknown(context, seconds):
    async def run():
        statuses_by_vm = await collect(context, "added-key", seconds)
        for vm, statuses in statuses_by_vm.items():
            assert set(statuses) <= {200, 503}, (vm, statuses)

    context.portal.call(run)


@then("for {seconds:g} s all VMs serve the key")
def step_all_serve(context, seconds):
    async def run():
        statuses_by_vm = await collect(context, KEY, seconds)
        for vm, statuses in statuses_by_vm.items():
            assert set(statuses) == {200}, (vm, statuses)

    context.portal.call(run)


@then("all VMs serve the {which} within {seconds:g} s")
def step_served(context, which, seconds):
    key = KEY if which == "key" else OTHER_KEY

    async def run():
        with fail_after(seconds):
            for vm in CENTERS_BY_VM:
                while await status_of(context.entry_fleet, vm, key) != 200:
                    await sleep(CHECK_INTERVAL_S)

    context.portal.call(run)


@then("no VM that serves uses the first target for {seconds:g} s")
def step_unused(context, seconds):
    def holds(view):
        return not view.is_confirmed() or not uses(view, "t1")

    context.portal.call(hold_views, context, holds, seconds)


@when('another target "t3" joins and all VMs know')
def step_joins(context):
    async def run():
        await context.entry_fleet.add_entry_target("t3")
        await wait_views(context, lambda view: uses(view, "t3"))

    context.portal.call(run)


@then('all VMs use "t3" within {seconds:g} s')
def step_known(context, seconds):
    context.portal.call(wait_views, context, lambda view: uses(view, "t3"), seconds)


@when('all VMs learn that data centre "b" is evacuated')
def step_evacuated(context):
    async def run():
        context.entry_fleet.store.write("evacuations/b", {})
        await wait_views(context, lambda view: view.evacuated == {"b"})

    context.portal.call(run)


@then(
    'all VMs treat "b" as evacuated within {seconds:g} s, and none that serves does '
    "not for {held:g} s"
)
def step_still_evacuated(context, seconds, held):
    async def run():
        await hold_views(
            context,
            lambda view: not view.is_complete() or view.evacuated == {"b"},
            held,
        )
        await wait_views(context, lambda view: view.evacuated == {"b"}, seconds - held)

    context.portal.call(run)


RECORDS = {
    "a former era's record": {"era": 6},
    "the era's record": {"era": 7},
    "an unreadable record": [1],
}


@then("after an era began with a view {age} s old, {evidence} is {result}")
def step_evidence(context, age, evidence, result):
    kernel = start_single(context)

    async def run():
        follower, view = kernel.find("follower"), kernel.find("view")
        poller, now = follower.configuration, time_since_boot()
        view.confirmed_at = None if float(age) == inf else now - float(age)
        follower.store.advance_era(7)
        if evidence.startswith("a reading after"):
            follower.trust.begun_at = now - float(evidence.split()[-2])
        version = view.version - ("older version" in evidence)
        first, changed = StoreRevision(7, 20), StoreRevision(7, 21)
        poller.note_revision(first)
        poller.last_read = ReadVersion(
            changed if "changed" in evidence else first, version
        )
        poller.confirm(version, now, STORE_SOURCE)
        if "status" in evidence:
            trusted_era = 7 if "a trusting" in evidence else 0
            status = ViewStatus(version, 1e6, 1, True, era=7, trusted_era=trusted_era)
            await kernel.find("sharing").fetch_newer("peer", status)
        if "record" in evidence or "empty" in evidence:
            spec = RECORDS.get(evidence)
            stored = [StoredValue(SETTLED_NAME, NO_REVISION, spec)] if spec else []
            kernel.find("vm-registry").empty_era = 7 if "this era" in evidence else 0
            with patch.object(EraRecord, "list_records", lambda _: as_result(stored)):
                await kernel.find("era-record").read_evidence()
        is_confirmed = view.confirmed_at == now
        assert is_confirmed == (result == "a confirmation"), view.confirmed_at

    context.portal.call(run)


async def as_result(value):
    """Return a value as the result of an awaited call."""
    return value


def start_single(context):
    """Start a VM that reads no more from the store, and return its kernel."""
    fleet = start_fleet(context)

    async def run():
        await fleet.add_entry_target("t1")
        kernel = await fleet.add_entry("a1")
        await fleet.wait_entries()
        silence_store(context, kernel)
        # Readings that have begun may still end.
        await sleep(0.2)
        return kernel

    return context.portal.call(run)


@given("VMs write the record {seconds:g} s after an era is settled")
def step_write_pause(context, seconds):
    change = patch("primroseturn.entry.era_record.uniform", lambda low, high: seconds)
    change.start()
    context.cleanups.append(change.stop)


@then("the store holds no record of the era for {seconds:g} s")
def step_no_record(context, seconds):
    store = context.entry_fleet.store

    async def run():
        ends_at = current_time() + seconds
        while current_time() < ends_at:
            record = store.entries_by_key.get(RECORD_KEY)
            assert record is None or record.spec != {"era": store.era}, record
            await sleep(CHECK_INTERVAL_S)

    context.portal.call(run)


@when("the record of the settled era is garbage and the store comes back from the copy")
def step_garbage(context):
    roll_back(context)
    store = context.entry_fleet.store
    context.portal.call(store.write, RECORD_KEY, {"era": "soon"})


@then(
    "the store holds the record of the era within {seconds:g} s, and its garbage was "
    "logged"
)
def step_recorded(context, seconds):
    store = context.entry_fleet.store

    async def run():
        with fail_after(seconds):
            while store.entries_by_key[RECORD_KEY].spec != {"era": store.era}:
                await sleep(CHECK_INTERVAL_S)

    context.portal.call(run)
    logs = (path.read_text() for path in context.entry_fleet.log_files_by_vm.values())
    assert any("era-record-unreadable" in text for text in logs)
