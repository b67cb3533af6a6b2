"""Steps for versions that are written while store pollers fail."""

from collections.abc import Callable
from typing import Any
from unittest.mock import patch

from anyio import current_time, fail_after, sleep
from behave import then, when

from primroseturn.failures import StoreUnavailable
from primroseturn.kernel.kernel import Kernel

# Seconds after the poller's last reading at which the other VMs query it for the last
# time, and at which it fails. Its next reading begins after 0.7 s.
LAST_QUERY_S, FAILURE_S = 0.6, 0.65
# Seconds after which VMs that were cut off respond again, before their own reading of
# the store has failed.
RETURN_S = 1.05
SETTLE_TIMEOUT_S = 10.0
CHECK_INTERVAL_S = 0.005

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
    """Let all further calls of a VM to the store get no response."""
    objects = kernel.find("objects")

    async def call(method, path, timeout_s=None, **options):
        await sleep(timeout_s or objects.call_limit_s)
        failure = StoreUnavailable(f"{method} {path}", "no response", False)
        objects.notify_failure(failure)
        raise failure

    replace(context, objects, "call", call)


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
    fleet = context.entry_fleet
    target = fleet.entry_targets_by_id["t1"]

    async def run():
        await sleep(context.changed_at + seconds - current_time())
        before = len(target.heads)
        for _ in range(20):
            for vm in context.running_by_vm:
                await fleet.send_request("/lookup/1", vm)
        return len(target.heads) - before

    found = context.portal.call(run)
    assert found == 0, found
