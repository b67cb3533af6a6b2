"""Steps for targets that leave around an outage of the store."""

from math import inf

from anyio import current_time, fail_after, sleep
from behave import then, when
from hypothesis import find, given as for_all, settings, strategies

from features.steps.entry_view import count_requests
from primroseturn.entry.contact import LapseWindow, LeaseTerms

HEARTBEAT_S, STABLE_S = 1.5, 3.0
CALL_INTERVAL_S = 0.5
TIMEOUT_S = 5.0


@when("the store {fault} for {length:g} s and is sound for {sound:g} s")
def step_outage(context, fault, length, sound):
    faults = context.entry_fleet.store.faults
    names = {"is unavailable": "outage", "does not respond": "hang"}

    async def run():
        setattr(faults, names[fault], True)
        context.entry_fleet.store.wake_watches()
        await sleep(length)
        setattr(faults, names[fault], False)
        await sleep(sound)

    context.portal.call(run)


@when("the waiting watches are cut, and the entry of the first target is removed")
def step_watches_cut(context):
    store = context.entry_fleet.store

    async def run():
        store.cut_watches()
        await sleep(0.05)
        store.write("servers/t1", None)

    context.portal.call(run)


@when("a read of the store is lost, and the entry of the first target is removed")
def step_read_lost(context):
    store = context.entry_fleet.store

    async def run():
        store.faults.lost_reads = 1
        with fail_after(TIMEOUT_S):
            while store.faults.lost_reads:
                await sleep(0.01)
        await sleep(0.5)
        store.write("servers/t1", None)

    context.portal.call(run)


@when("the store poller has lost the store and another VM polls it")
def step_poller_replaced(context):
    fleet = context.entry_fleet
    objects = fleet.kernels_by_vm["vm1"].find("objects")
    sharing = fleet.kernels_by_vm["vm2"].find("sharing")
    address = objects.http.base_url

    async def run():
        # The port refuses connections.
        objects.http.base_url = "http://127.0.0.1:1"
        with fail_after(TIMEOUT_S):
            while not sharing.is_store_poller:
                await sleep(0.02)
        await sleep(2.0)
        objects.http.base_url = address

    context.portal.call(run)


@when("that VM stops and the entry of the first target is removed")
def step_stops(context):
    context.portal.call(context.entry_fleet.stop, "vm2")

    async def run():
        context.entry_fleet.store.write("servers/t1", None)

    context.portal.call(run)


@then("the first VM sends it no requests {seconds:g} s later")
def step_first_vm(context, seconds):
    assert count_requests(context, ["vm1"], seconds) == 0


@when("both VMs have dropped it")
def step_both_dropped(context):
    async def run():
        with fail_after(TIMEOUT_S):
            for kernel in context.entry_fleet.kernels_by_vm.values():
                while "t1" in kernel.find("view").targets_by_id:
                    await sleep(0.01)

    context.portal.call(run)


@when("another VM sends them a later list that keeps it as lapsed")
def step_brought_back(context):
    async def run():
        for kernel in context.entry_fleet.kernels_by_vm.values():
            view, follower = kernel.find("view"), kernel.find("follower").targets
            kept = view.targets_by_id["t2"]._replace(
                id="t1", port=context.entry_fleet.entry_targets_by_id["t1"].port
            )
            targets = [*view.targets_by_id.values(), kept]
            ends_at = current_time() + 2.0
            later = view.revision._replace(number=view.revision.number + 1)
            follower.apply_peer_targets(targets, later, {"t1": ends_at})

    context.portal.call(run)


@then("an entry missing {after:g} s after an outage of {length:g} s is {outcome}")
def step_missing(context, after, length, outcome):
    window = LapseWindow(LeaseTerms(HEARTBEAT_S, STABLE_S))
    window.record_answer(100.0)
    calls = int(length / CALL_INTERVAL_S)
    for number in range(calls):
        window.record_failure(100.0 + number * CALL_INTERVAL_S + 0.01)
    returned_at = 100.0 + length
    window.record_answer(returned_at)
    assert window.is_open(returned_at + after) == (outcome == "kept")


class FirstResponseWindow(LapseWindow):
    """Counts from the first response only, as VMs did before."""

    def record_answer(self, at):
        if self.failed_at > self.answered_at:
            self.ends_at = at + 2.2
        self.answered_at = max(self.answered_at, at)


calls = strategies.lists(
    strategies.tuples(strategies.floats(0.01, 3.0), strategies.booleans()), max_size=30
)


def longest_stay_s(window, steps):
    """Return how long after the last failed call an entry is kept, over a sequence."""
    now, failed_at, longest = 100.0, -inf, -inf
    for pause, succeeds in steps:
        now += pause
        if succeeds:
            window.record_answer(now)
            longest = max(longest, window.ends_at - failed_at)
        else:
            failed_at = now
            window.record_failure(now)
    return longest


@then("in any sequence of calls no entry is kept beyond the last failed call by 3 s")
def step_any_sequence(context):
    @settings(max_examples=500, deadline=None)
    @for_all(calls)
    def check(steps):
        window = LapseWindow(LeaseTerms(HEARTBEAT_S, STABLE_S))
        assert longest_stay_s(window, steps) <= STABLE_S + 1e-9

    check()


@then("in some sequence a window that counts from the first response lasts beyond 3 s")
def step_broken_window(context):
    terms = LeaseTerms(HEARTBEAT_S, STABLE_S)
    find(
        calls,
        lambda steps: longest_stay_s(FirstResponseWindow(terms), steps) > STABLE_S,
    )
