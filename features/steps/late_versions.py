"""Steps for versions that are written while store pollers fail."""

from collections.abc import Callable
from typing import Any, NamedTuple
from unittest.mock import patch

from anyio import current_time, fail_after, sleep
from behave import then, when
from hypothesis import find, given as for_all, settings, strategies

from features.steps.entry_view import count_requests
from primroseturn.clock import time_since_boot
from primroseturn.entry.polling import MAX_READ_TIMEOUT_S
from primroseturn.entry.reliance import (
    LOST_RESPONSE_S,
    READING_S,
    Reliance,
    RETRY_PAUSE_S,
)
from primroseturn.failures import StoreUnavailable
from primroseturn.kernel.kernel import Kernel
from primroseturn.platform.objects import path_of
from primroseturn.platform.wire import CONFIGURATION_KIND

# Seconds after the poller's last reading at which the other VMs query it for the last
# time, and at which it fails. Its next reading begins after 0.7 s.
LAST_QUERY_S, FAILURE_S = 0.6, 0.65
# Seconds after which VMs that were cut off respond again, before their own reading of
# the store has failed.
RETURN_S = 1.05
SETTLE_TIMEOUT_S = 10.0
CHECK_INTERVAL_S = 0.005
VERSION_LIMIT_S = 2.0
# Seconds without a disturbance after which the platform's bounds hold for a VM again.
STABLE_S = 3.0
TOLERANCE_S = 1e-6

Inject = Callable[[Any, Kernel], None]
inject_by_fault: dict[str, Inject] = {}


def fault(name: str) -> Callable[[Inject], Inject]:
    """Register a function that makes a VM fail in a certain way."""

    def register(function: Inject) -> Inject:
        inject_by_fault[name] = function
        return function

    return register


def replace(context, owner, name, value):
    """Replace an attribute until the end of the scenario, and return the patch."""
    change = patch.object(owner, name, value)
    change.start()
    context.cleanups.append(change.stop)
    return change


def silence_store(context, kernel):
    """Let further calls of a VM to the store get no response, and return the patch."""
    objects = kernel.find("objects")

    async def call(method, path, timeout_s=None, **options):
        await sleep(timeout_s or objects.call_limit_s)
        failure = StoreUnavailable(f"{method} {path}", "no response", False)
        objects.notify_failure(failure)
        raise failure

    return replace(context, objects, "call", call)


def silence_peers(context, kernel, directions=("receive", "try_transmit")):
    """Drop the messages between a VM and the others, and return the replacements."""

    async def receive(*arguments, **options):
        pass

    values = {"receive": receive, "try_transmit": lambda *arguments: None}
    return [
        replace(context, kernel.find(bus), direction, values[direction])
        for bus in ("datagrams", "peers")
        for direction in directions
    ]


@fault("end")
def inject_end(context, kernel):
    """Let a VM do nothing from now on, as far as others can see."""
    silence_store(context, kernel)
    silence_peers(context, kernel)


@fault("lose the store")
def inject_store_loss(context, kernel):
    """Cut a VM off from the store only."""
    silence_store(context, kernel)


@fault("are cut off in one direction")
def inject_one_way(context, kernel):
    """Let nothing that a VM sends reach the others."""
    silence_peers(context, kernel, ("try_transmit",))


@fault("are cut off, and return without the store")
def inject_return(context, kernel):
    """Cut a VM off; it reaches the other VMs again a little later."""
    silence_store(context, kernel)
    changes = silence_peers(context, kernel)

    def restore():
        for change in changes:
            change.stop()

    context.restore = restore


async def wait_reading(kernel):
    """Wait until a VM has read the configuration from the store."""
    view = kernel.find("view")
    before = view.confirmed_at
    with fail_after(SETTLE_TIMEOUT_S):
        while view.confirmed_at == before:
            await sleep(CHECK_INTERVAL_S)


async def change_before_failure(context, count, name, write):
    """Write a change after a reading of the store poller, then let VMs fail."""
    fleet = context.entry_fleet
    kernels = list(fleet.kernels_by_vm.values())
    await wait_reading(kernels[0])
    write()
    context.changed_at = current_time()
    await sleep(LAST_QUERY_S)
    for kernel in kernels:
        kernel.find("sharing").query_now()
    await sleep(FAILURE_S - LAST_QUERY_S)
    for kernel in kernels[:count]:
        inject_by_fault[name](context, kernel)
    context.running_by_vm = dict(list(fleet.kernels_by_vm.items())[count:])


@when(
    "a version is written and the first {count:d} VMs {name} before they have read it"
)
def step_write(context, count, name):
    context.portal.call(
        change_before_failure, context, count, name, context.entry_fleet.publish
    )


@then(
    "the version is in force at all other VMs within {seconds:g} s of its "
    "acknowledgement"
)
def step_in_force(context, seconds):
    newest = int(context.entry_fleet.configuration["version"][1:])

    async def run():
        if hasattr(context, "restore"):
            await sleep(context.changed_at + RETURN_S - current_time())
            context.restore()
            for kernel in context.running_by_vm.values():
                kernel.find("sharing").query_now()
        seconds_by_vm = {}
        with fail_after(SETTLE_TIMEOUT_S):
            while len(seconds_by_vm) < len(context.running_by_vm):
                for vm, kernel in context.running_by_vm.items():
                    if kernel.find("view").version == newest:
                        after_s = current_time() - context.changed_at
                        seconds_by_vm.setdefault(vm, round(after_s, 3))
                await sleep(CHECK_INTERVAL_S)
        return seconds_by_vm

    seconds_by_vm = context.portal.call(run)
    assert max(seconds_by_vm.values()) <= seconds, seconds_by_vm


@when(
    "the first target reports that it leaves and the first {count:d} VMs end before "
    "they know"
)
def step_leave(context, count):
    def write():
        store = context.entry_fleet.store
        store.faults.silent_watches = True
        store.wake_watches()
        context.entry_fleet.list_target("t1", state="draining")

    context.portal.call(change_before_failure, context, count, "end", write)


@then("no other VM sends the first target requests {seconds:g} s later")
def step_no_requests(context, seconds):
    async def passed_s():
        return current_time() - context.changed_at

    left_s = seconds - context.portal.call(passed_s)
    assert count_requests(context, context.running_by_vm, left_s) == 0


@when(
    "the last VM is cut off from the store and the other VMs for {seconds:g} s, and "
    "reaches the other VMs first"
)
def step_cut_off(context, seconds):
    fleet = context.entry_fleet
    kernel = list(fleet.kernels_by_vm.values())[-1]

    async def run():
        store_change = silence_store(context, kernel)
        peer_changes = silence_peers(context, kernel)
        await sleep(seconds)
        for change in peer_changes:
            change.stop()
        with fail_after(SETTLE_TIMEOUT_S):
            while not kernel.find("follower").polling_pause.is_active():
                await sleep(CHECK_INTERVAL_S)
            # A reading that began before fails as well.
            await sleep(MAX_READ_TIMEOUT_S)
        store_change.stop()

    context.portal.call(run)


def lose_next_reading(context, kernel):
    """Let the next call of a VM for the configuration get no response."""
    objects = kernel.find("objects")
    call = objects.call
    silent = iter([True])

    async def lose_first(method, path, timeout_s=None, **options):
        if path.startswith(path_of(CONFIGURATION_KIND)) and next(silent, False):
            await sleep(timeout_s)
            failure = StoreUnavailable(f"{method} {path}", "no response", False)
            objects.notify_failure(failure)
            raise failure
        return await call(method, path, timeout_s, **options)

    replace(context, objects, "call", lose_first)


@when("its next reading of the store is going to get no response")
def step_lose_reading(context):
    context.portal.call(sleep, STABLE_S)
    lose_next_reading(context, list(context.entry_fleet.kernels_by_vm.values())[-1])


@then(
    "no view is older than {age:g} s in {seconds:g} s, in which the store gets at most "
    "{limit:d} calls"
)
def step_recent(context, age, seconds, limit):
    fleet = context.entry_fleet

    async def run():
        before = sum(fleet.store.calls_by_kind.values())
        ages_by_vm = dict.fromkeys(fleet.kernels_by_vm, 0.0)
        ends_at = current_time() + seconds
        while current_time() < ends_at:
            for vm, kernel in fleet.kernels_by_vm.items():
                found = kernel.find("view").age_s(time_since_boot())
                ages_by_vm[vm] = max(ages_by_vm[vm], found)
            await sleep(CHECK_INTERVAL_S)
        return ages_by_vm, sum(fleet.store.calls_by_kind.values()) - before

    ages_by_vm, calls = context.portal.call(run)
    assert max(ages_by_vm.values()) <= age, ages_by_vm
    assert calls <= limit, (calls, fleet.store.calls_by_kind)


class Reply(NamedTuple):
    """A reply of another VM.

    Attributes
    ----------
    pause_s
        Seconds since the reply before it.
    age_s
        Seconds since the reading of the store that it states.
    """

    pause_s: float
    age_s: float


REPLIES = strategies.lists(
    strategies.builds(Reply, strategies.floats(0, 2), strategies.floats(0, 3)),
    min_size=1,
    max_size=10,
)


def replay_replies(replies, start):
    """Replay replies, and fail if the VM may learn of a version too late.

    Parameters
    ----------
    start
        From when the VM counts the time in which it relies on others.
    """
    reliance = Reliance(VERSION_LIMIT_S, VERSION_LIMIT_S)
    now, read_at, ends_at = 0.0, 0.0, reliance.max_age_s
    for reply in replies:
        now += reply.pause_s
        if now >= ends_at:
            break
        read_at = max(read_at, now - reply.age_s)
        match start:
            case "the reading":
                ends_at = max(ends_at, now + reliance.left_s(now - read_at))
            case "the reply":
                ends_at = now + reliance.max_age_s
            case "the reply if it is recent":
                if reply.age_s <= reliance.max_age_s:
                    ends_at = now + reliance.max_age_s
    # A version that was written just after the last reading that the VM knows of.
    in_force_at = ends_at + LOST_RESPONSE_S + RETRY_PAUSE_S + READING_S
    assert in_force_at <= read_at + VERSION_LIMIT_S + TOLERANCE_S, (read_at, ends_at)


@then("in any sequence of replies a VM reads the store in time for a new version")
def step_in_time(context):
    @settings(max_examples=500, derandomize=True, database=None, deadline=None)
    @for_all(REPLIES)
    def check(replies):
        replay_replies(replies, "the reading")

    check()


@then("in some sequence a VM that counts from {start} reads the store too late")
def step_too_late(context, start):
    def is_late(replies):
        try:
            replay_replies(replies, start)
        except AssertionError:
            return True
        return False

    find_settings = settings(
        max_examples=2000, derandomize=True, database=None, deadline=None
    )
    assert find(REPLIES, is_late, settings=find_settings)
