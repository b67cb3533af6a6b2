"""Steps for errors in the background tasks of an entry VM."""

import os
from asyncio import CancelledError
from contextlib import suppress
from functools import partial
from time import monotonic, sleep as sleep_blocking

from anyio import create_task_group, fail_after, sleep
from behave import given, then, when
from httpx import get, HTTPError

from features.entry_fleet import EntryFleet
from features.fault_injection import (
    add_failing_service,
    ERROR_TEXT,
    Fault,
    InjectedFault,
    request_during_fault,
    wait_for_failed_task,
)
from features.steps.entry_process import start_process, WAIT_S
from features.steps.entry_stop import stop
from primroseturn.entry.process import ENTRY_SERVICES
from primroseturn.kernel.kernel import run_kernel
from primroseturn.requestpath.pool import TargetPool
from primroseturn.serving.idle import IdleConnections

faults_by_name = {
    "the poll of the configuration": Fault(
        "follower.configuration", "poll_configuration"
    ),
    "the watch of the targets": Fault("follower.targets", "watch_changes"),
    "the listing of VMs in the store": Fault("vm-registry", "list_vms"),
    "the exchange of digests": Fault("quota", "pop_usage"),
    "the query of the store poller": Fault("sharing", "query_store_poller"),
    "the closing of old connections": Fault(TargetPool, "prune"),
    "the closing of idle connections of callers": Fault(IdleConnections, "close_since"),
}


def request_while_failing(context, name, path, error):
    """Inject a fault while a caller waits for its response."""
    fleet: EntryFleet = context.entry_fleet

    async def trigger_fault(fault):
        if name == "the watch of the targets":
            # Ends the current watch, so that the next one begins at once.
            fleet.list_target("t1", cold_left_s=1)

    async def run():
        response = await request_during_fault(
            partial(fleet.send_request, path, method="POST"),
            lambda: fleet.entry_targets_by_id["t1"].runs,
            fleet.kernels_by_vm["vm1"],
            faults_by_name[name],
            error,
            trigger_fault,
        )
        context.responses = [response]

    context.portal.call(run)


@when("{name} fails while a caller waits for POST {path:S}")
def step_fail(context, name, path):
    request_while_failing(context, name, path, LookupError(ERROR_TEXT))


@when("{name} is cancelled while a caller waits for POST {path:S}")
def step_cancel(context, name, path):
    request_while_failing(context, name, path, CancelledError())


@when("a handler of datagrams raises while a caller waits for POST {path:S}")
def step_fail_handler(context, path):
    fleet = context.entry_fleet
    bus = fleet.kernels_by_vm["vm1"].find("datagrams")
    original = dict(bus.handlers_by_type)
    context.handled = 0

    async def fail(sender, body):
        context.handled += 1
        raise LookupError(ERROR_TEXT)

    async def run():
        context.responses = []
        async with create_task_group() as tasks:
            tasks.start_soon(call)
            with fail_after(WAIT_S):
                while not fleet.entry_targets_by_id["t1"].runs:
                    await sleep(0.01)
            bus.handlers_by_type.update(dict.fromkeys(original, fail))
        bus.handlers_by_type.update(original)
        # A second call shows that the first error did not end the task.
        assert context.handled > 1, context.handled

    async def call():
        context.responses.append(await fleet.send_request(path, method="POST"))

    context.portal.call(run)


@then("datagrams are handled again")
def step_handled(context):
    bus = context.entry_fleet.kernels_by_vm["vm1"].find("datagrams")

    async def run():
        before = bus.counts["frames_received"]
        with fail_after(2.0):
            while bus.counts["frames_received"] == before:
                await sleep(0.02)

    context.portal.call(run)


@then('the log names the failed task "{task}"')
def step_logged(context, task):
    path = context.entry_fleet.log_files_by_vm["vm1"]
    context.portal.call(wait_for_failed_task, path, task)


@then("a further caller gets {status:d}")
def step_further(context, status):
    response = context.portal.call(
        partial(context.entry_fleet.send_request, "/order/2", method="POST")
    )
    assert response.status_code == status, response.text


@when("a service of another VM raises while a caller waits for POST {path:S} there")
def step_fail_service(context, path):
    fleet: EntryFleet = context.entry_fleet
    settings = fleet.settings_of("vm2")

    runs = fleet.entry_targets_by_id["t1"].runs
    failing = add_failing_service(context, lambda: runs)

    async def serve(tasks):
        with suppress(ExceptionGroup):
            async with run_kernel(
                ("events", failing, *ENTRY_SERVICES), {"settings": settings}
            ) as kernel:
                fleet.entry_ports_by_vm["vm2"] = kernel.find("entry")
                tasks.start_soon(call)
                await sleep(WAIT_S)

    async def call():
        context.responses.append(
            await fleet.send_request(path, vm="vm2", method="POST")
        )

    async def run():
        context.responses = []
        async with create_task_group() as tasks:
            tasks.start_soon(serve, tasks)

    context.portal.call(run)


@when("the VM is asked to stop, and {seconds:g} s later a caller sends POST {path:S}")
def step_late(context, seconds, path):
    fleet: EntryFleet = context.entry_fleet

    async def run():
        async with create_task_group() as tasks:
            tasks.start_soon(stop, context)
            await sleep(seconds)
            context.responses = [await fleet.send_request(path, method="POST")]

    context.portal.call(run)


@then("the VM was gone within {limit_s:g} s after it was asked to stop")
def step_gone(context, limit_s):
    assert context.stop_took_s <= limit_s, context.stop_took_s


@given("an entry VM as a process whose log is no longer read")
def step_no_reader(context):
    reader, writer = os.pipe()
    start_process(context, writer)
    os.close(writer)
    os.close(reader)
    until = monotonic() + WAIT_S
    while monotonic() < until and context.process.poll() is None:
        with suppress(HTTPError):
            request_status(context)
            return
        sleep_blocking(0.05)


def request_status(context):
    """Send a request to the process and return the status of its response."""
    url = f"http://127.0.0.1:{context.ports['callers']}/lookup/1"
    return get(url, trust_env=False).status_code


@when("its callers send {count:d} requests")
def step_send(context, count):
    context.statuses = []
    for _ in range(count):
        with suppress(HTTPError):
            context.statuses.append(request_status(context))


@then("each got a response and the process still runs")
def step_still_runs(context):
    # Without a store, the VM refuses each request.
    assert context.statuses == [503] * 20, context.statuses
    assert context.process.poll() is None, context.process.returncode


@when("the list of targets changes while its subscriber fails once")
def step_list_changes(context):
    fleet: EntryFleet = context.entry_fleet
    placement = fleet.kernels_by_vm["vm1"].find("placement")
    fail_once(placement, "update_targets")
    context.portal.call(fleet.add_entry_target, "t9")
    context.in_force = lambda: "t9" in placement.states_by_id


@when("the configuration changes while its subscriber fails once")
def step_configuration_changes(context):
    fleet: EntryFleet = context.entry_fleet
    quota = fleet.kernels_by_vm["vm1"].find("quota")
    fail_once(quota, "set_workspaces")

    async def change():
        (shop,) = fleet.configuration["tenants"]
        fleet.configuration["tenants"] = [{**shop, "rate_per_s": 7, "burst": 7}]
        fleet.publish()

    context.portal.call(change)
    context.in_force = lambda: quota.quotas_by_name["shop"].workspace.rate == 7


def fail_once(owner, method):
    """Make the next call of a method fail."""
    original = getattr(owner, method)

    def fail(*arguments):
        setattr(owner, method, original)
        raise LookupError(ERROR_TEXT)

    setattr(owner, method, fail)


@then("{what} is in force within {seconds:g} s")
def step_in_force(context, what, seconds):
    async def run():
        with fail_after(seconds):
            while not context.in_force():
                await sleep(0.02)

    context.portal.call(run)


@when("the watch of the targets keeps failing at the store poller")
def step_poller_fails(context):
    kernels = context.entry_fleet.kernels_by_vm.values()

    async def run():
        with fail_after(WAIT_S):
            while not any(kernel.find("sharing").is_store_poller for kernel in kernels):
                await sleep(0.05)
        (poller,) = [item for item in kernels if item.find("sharing").is_store_poller]
        error = LookupError(ERROR_TEXT)
        InjectedFault(poller, Fault("follower.targets", "read_list"), error)
        fault = InjectedFault(poller, Fault("follower.targets", "watch_changes"), error)
        # Ends the current watch.
        context.entry_fleet.list_target("t1", cold_left_s=1)
        with fail_after(WAIT_S):
            while not fault.calls:
                await sleep(0.02)

    context.portal.call(run)


@when("another target is listed")
def step_other_target(context):
    context.portal.call(context.entry_fleet.add_entry_target, "t9")


@then("both VMs list the new target within {seconds:g} s")
def step_both_list(context, seconds):
    kernels = context.entry_fleet.kernels_by_vm.values()

    async def run():
        with fail_after(seconds):
            while any("t9" not in item.find("view").targets_by_id for item in kernels):
                await sleep(0.05)

    context.portal.call(run)
