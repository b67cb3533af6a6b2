"""Steps for errors in the tasks, services and message handlers of a daemon."""

from asyncio import CancelledError
from contextlib import suppress
from functools import partial
from pathlib import Path
from signal import Signals
from tempfile import TemporaryDirectory

from anyio import create_task_group, Event, fail_after, sleep
from behave import given, then, when

from features.fault_injection import (
    add_failing_service,
    ERROR_TEXT,
    Fault,
    InjectedFault,
    request_during_fault,
    wait_for_events,
    wait_for_failed_task,
)
from features.fleet import Fleet, run_fleet
from features.steps.request_path import fill_fleet
from primroseturn.claims.claims import make_change
from primroseturn.claims.models import Operation
from primroseturn.configuration import withdrawals
from primroseturn.configuration.messages import ConfigurationChange
from primroseturn.configuration.models import Change
from primroseturn.control.bus import Sender
from primroseturn.daemon import DAEMON_SERVICES
from primroseturn.kernel.kernel import run_kernel
from primroseturn.observation import clocks
from primroseturn.observation.output import LogWriter

# Longest wait for an expected event.
WAIT_S = 5.0
# Time for a fault to affect other parts before the target responds.
EFFECT_DELAY_S = 0.1
# Interval of heartbeats, load polls and clock probes in the scenarios.
SHORT_INTERVAL_S = 0.1
# Differs from all other delays of the claims, so that a fault can select this one.
COMMIT_INTERVAL_S = 0.013
SERVICE_TIME_S = 0.7
DRAIN_DELAY_S = 0.4
SETTINGS_SECTIONS = {
    "control": {"heartbeat_interval_s": SHORT_INTERVAL_S},
    "upstreams": {"load_interval_s": SHORT_INTERVAL_S},
    "claims": {"commit_interval_s": COMMIT_INTERVAL_S},
    # The lease is renewed 36 times before it would expire.
    "limits": {"owner_lease_s": 36 * SHORT_INTERVAL_S, "loan_s": 0.5},
}
BROKEN_OPERATION = Operation("shop", "broken", "attempt-of-the-test", "0")


def is_broken_claim(change):
    return change.operation_id == BROKEN_OPERATION.operation_id


def is_broken_batch(prefix, changes):
    return any(is_broken_claim(change) for change in changes)


faults_by_part = {
    "the sending of heartbeats": Fault("heartbeats", "report_links"),
    "the tick of the dispatcher": Fault("dispatcher", "tick"),
    "the follower of the configuration log": Fault(
        "configuration.follower", "follow_log_once"
    ),
    "the follower of the VM lists": Fault(
        "configuration.follower", "follow_lists_once"
    ),
    "the fetch of changes from a peer": Fault("configuration.relay", "apply_reply"),
    "the fetch of VM lists from a peer": Fault("configuration.listing_relay", "apply"),
    "the recording of a withdrawal": Fault(withdrawals, "propose_change"),
    "the selection of withdrawals to record": Fault("withdrawals", "must_record"),
    "the commit of postponed claim changes": Fault(
        "claims", "commit_change", is_broken_claim
    ),
    "the commit of a batch of claims": Fault(
        "claims.committer", "commit", is_broken_batch
    ),
    "the delay before a batch of claims": Fault(
        "claims.clock", "sleep", lambda delay_s: delay_s == COMMIT_INTERVAL_S
    ),
    "the borrowing of tokens": Fault("admission.borrower", "run_round"),
    "the update of the limit ledger": Fault("admission.ownership", "update_ledger"),
    "the renewal of the owner's lease": Fault("admission.session", "renew"),
    "the clock probes": Fault(clocks, "choose_peer"),
    "the exchange of evidence digests": Fault("digests", "send_round"),
    "the polling of target loads": Fault("loads", "near_targets"),
    "one poll of a target load": Fault("dispatcher.balancer", "record_load"),
    "the writer of the log": Fault(LogWriter, "next_batch"),
}


async def add_configuration_change(fleet, kernel):
    fleet.configure("workspace", "further", {"name": "further", "rate": 1, "burst": 1})


async def rewrite_target_list(fleet, kernel):
    fleet.list_targets("search")


async def relay_later_change(fleet, kernel):
    version = kernel.find("replica").state.version + 2
    change = Change(version, "", "", "workspace", "none", None)
    relay = kernel.find("configuration").relay
    await relay.accept(Sender("vm2", "any", 1), ConfigurationChange([change]))


async def start_list_fetch(fleet, kernel):
    listing = kernel.find("listing")
    listing.versions_by_list["search"] -= 1
    kernel.find("configuration").listing_relay.start_fetch("vm2")


async def accept_withdrawal(fleet, kernel):
    key_id = fleet.key_ids_by_workspace["office"]
    kernel.find("withdrawals").withdrawn_here.add(key_id)
    kernel.find("replica").withdraw(key_id, "test")


async def receive_withdrawal(fleet, kernel):
    kernel.find("replica").withdraw(fleet.key_ids_by_workspace["office"], "test")


async def release_claim(fleet, kernel):
    kernel.find("claims").release_later(BROKEN_OPERATION)


async def submit_claim(fleet, kernel):
    change = make_change("claim", BROKEN_OPERATION)
    with fail_after(WAIT_S):
        reply = await kernel.find("claims").batches.submit(change)
    assert reply.verdict == "unavailable", reply


async def wake_limit_tasks(fleet, kernel):
    for share in kernel.find("admission").shares_by_workspace.values():
        share.borrower_woken.set()
        share.ledger_woken.set()


triggers_by_part = {
    "the follower of the configuration log": add_configuration_change,
    "the follower of the VM lists": rewrite_target_list,
    "the fetch of changes from a peer": relay_later_change,
    "the fetch of VM lists from a peer": start_list_fetch,
    "the recording of a withdrawal": accept_withdrawal,
    "the selection of withdrawals to record": receive_withdrawal,
    "the commit of postponed claim changes": release_claim,
    "the commit of a batch of claims": submit_claim,
    "the delay before a batch of claims": submit_claim,
    "the borrowing of tokens": wake_limit_tasks,
    "the update of the limit ledger": wake_limit_tasks,
}


@given("{count:d} daemons and {targets:d} target, and a log of the first daemon")
@given("{count:d} daemon and {targets:d} target, and a log of the first daemon")
def step_daemons(context, count, targets):
    directory = TemporaryDirectory()
    context.cleanups.append(directory.cleanup)
    context.log_file = Path(directory.name, "vm1.jsonl")
    for name in ("FIRST_PROBE_S", "PROBE_INTERVAL_S"):
        context.cleanups.append(partial(setattr, clocks, name, getattr(clocks, name)))
        setattr(clocks, name, SHORT_INTERVAL_S)
    manager = context.portal.wrap_async_context_manager(run_fleet())
    fleet = context.fleet = manager.__enter__()
    context.cleanups.append(lambda: manager.__exit__(None, None, None))
    add_daemon = fleet.add_daemon

    async def add_logging_daemon(vm):
        logs = {"events_file": str(context.log_file)} if vm == "vm1" else {}
        return await add_daemon(
            vm, **SETTINGS_SECTIONS, **({"logs": logs} if logs else {})
        )

    async def start_parts():
        fleet.add_daemon = add_logging_daemon
        fleet.add_workspace("office")
        await fill_fleet(fleet, targets, count)
        for vm in fleet.kernels_by_vm:
            await wait_served(fleet, vm)

    context.portal.call(start_parts)


async def wait_served(fleet: Fleet, vm: str) -> None:
    """Wait until a daemon that has just started responds with 200."""
    secret = fleet.secrets_by_workspace["shop"]
    with fail_after(WAIT_S):
        while (await fleet.request(vm, "GET", "/find/1", secret)).status_code != 200:
            await sleep(0.02)


async def order(fleet: Fleet, path: str, vm: str = "vm1"):
    """Send an at-most-once request whose Idempotency-Key is its path."""
    return await fleet.request(
        vm,
        "POST",
        path,
        fleet.secrets_by_workspace["shop"],
        headers={"idempotency-key": path},
        content=b"{}",
    )


class DelayedTarget:
    """Delays the responses of the only target until `released` is set."""

    def __init__(self, fleet: Fleet) -> None:
        (upstream,) = fleet.upstreams_by_name.values()
        self.released = Event()
        self.arrived = Event()
        self.original = upstream.run_in_slot
        upstream.run_in_slot = self.run_in_slot

    async def run_in_slot(self, *arguments):
        self.arrived.set()
        await self.released.wait()
        await self.original(*arguments)


@when("{part} fails in the first daemon while a target executes an order")
def step_fail(context, part):
    fleet: Fleet = context.fleet

    async def run():
        target = DelayedTarget(fleet)
        kernel = fleet.kernels_by_vm["vm1"]

        async def trigger_fault(fault: InjectedFault):
            if part in triggers_by_part:
                await triggers_by_part[part](fleet, kernel)
            with fail_after(WAIT_S):
                while not fault.calls:
                    await sleep(0.01)
            await sleep(EFFECT_DELAY_S)
            target.released.set()

        context.response = await request_during_fault(
            partial(order, fleet, "/order/1"),
            target.arrived.is_set,
            kernel,
            faults_by_part[part],
            LookupError(ERROR_TEXT),
            trigger_fault,
        )

    context.portal.call(run)


@then("the order gets {status:d} and ran once")
def step_order(context, status):
    assert context.response.status_code == status, context.response.text
    (upstream,) = context.fleet.upstreams_by_name.values()
    assert upstream.executions_by_key == {"/order/1": 1}, upstream.executions_by_key


@then('the daemon\'s log names the failed task "{task}"')
def step_logged(context, task):
    context.portal.call(wait_for_failed_task, context.log_file, task)


@then("a further order gets {status:d}")
def step_further(context, status):
    response = context.portal.call(order, context.fleet, "/order/2")
    assert response.status_code == status, response.text


@when('a key is withdrawn at the first daemon, whose messages to "{vm}" fail')
def step_withdraw(context, vm):
    fleet: Fleet = context.fleet
    kernel = fleet.kernels_by_vm["vm1"]
    key_id = fleet.key_ids_by_workspace["office"]
    messages = Fault("withdrawals", "ask", lambda name, *rest: name == vm)

    async def run():
        fault = InjectedFault(kernel, messages, LookupError(ERROR_TEXT))
        result = await kernel.find("withdrawals").withdraw(key_id, "test")
        fault.remove()
        assert fault.calls
        context.withdrawal = result.ok

    context.portal.call(run)


@then("the withdrawal is recorded and in force at {count:d} daemons")
def step_withdrawn(context, count):
    result = context.withdrawal
    assert result.state == "recorded", result
    assert result.in_force == count, result


async def remove_after_failure(fault: InjectedFault):
    """Remove a fault after the first failed call."""
    with fail_after(WAIT_S):
        while not fault.calls:
            await sleep(0.01)
    fault.remove()


@when("the router fails once to apply a new route")
def step_fail_router(context):
    fleet: Fleet = context.fleet
    kernel = fleet.kernels_by_vm["vm1"]

    async def run():
        subscriber = Fault("router", "install")
        fault = InjectedFault(kernel, subscriber, LookupError(ERROR_TEXT))
        body = {"name": "late", "path_prefix": "/late", "service": "search"}
        fleet.configure("route", "late", body)
        await remove_after_failure(fault)

    context.portal.call(run)


@then("the new route is served within {timeout_s:g} s")
def step_new_route(context, timeout_s):
    fleet: Fleet = context.fleet
    secret = fleet.secrets_by_workspace["shop"]

    async def run():
        with fail_after(timeout_s):
            while True:
                response = await fleet.request("vm1", "GET", "/late/1", secret)
                if response.status_code == 200:
                    return
                await sleep(0.02)

    context.portal.call(run)


@when("the balancer fails once to apply a new target")
def step_fail_balancer(context):
    fleet: Fleet = context.fleet
    kernel = fleet.kernels_by_vm["vm1"]

    async def run():
        subscriber = Fault("dispatcher", "apply_listing")
        fault = InjectedFault(kernel, subscriber, LookupError(ERROR_TEXT))
        await fleet.add_upstream("target2", "search")
        await remove_after_failure(fault)

    context.portal.call(run)


@then("the new target gets orders within {timeout_s:g} s")
def step_new_target(context, timeout_s):
    fleet: Fleet = context.fleet

    async def run():
        number = 0
        with fail_after(timeout_s):
            while not fleet.upstreams_by_name["target2"].requests:
                number += 1
                await order(fleet, f"/order/{number}")

    context.portal.call(run)


@when("the daemon gets {signals} while a target executes an order")
def step_signals(context, signals):
    fleet = context.processes

    async def run():
        await fleet.set_faults("target1", {"extra_delay_s": SERVICE_TIME_S})
        async with create_task_group() as tasks:
            tasks.start_soon(send_order)
            with fail_after(WAIT_S):
                while await count_requests() == before:
                    await sleep(0.01)
            process = fleet.processes_by_name.pop("vm1")
            for name in signals.split(" and "):
                process.send_signal(Signals[name])
                await sleep(EFFECT_DELAY_S)
        context.exit_code = await process.wait()

    async def send_order():
        headers = {"x-api-key": fleet.secret, "idempotency-key": "1"}
        context.response = await fleet.http.post(
            fleet.url("vm1", "/order/1"), headers=headers, content=b"{}"
        )

    async def count_requests():
        response = await fleet.http.get(fleet.url("target1", "/control/counters"))
        return response.json()["requests"]

    before = context.portal.call(count_requests)
    context.portal.call(run)


@then("the order gets {status:d} and the process exits with code {code:d}")
def step_ended(context, status, code):
    assert context.response.status_code == status, context.response.text
    assert context.exit_code == code, context.exit_code


@when("a service of another daemon raises while that daemon forwards an order")
def step_fail_service(context):
    fleet: Fleet = context.fleet
    (upstream,) = fleet.upstreams_by_name.values()
    callers = {"drain_delay_s": DRAIN_DELAY_S, "drain_limit_s": 1.0}
    settings = fleet.daemon_settings("ending", callers=callers)
    at_target = Event()
    failing = add_failing_service(context, at_target.is_set)

    async def run_failing_daemon(tasks):
        with suppress(ExceptionGroup):
            async with run_kernel(
                ("events", failing, *DAEMON_SERVICES), {"settings": settings}
            ) as kernel:
                fleet.list_daemon("ending", kernel)
                await fleet.wait_ready()
                await wait_served(fleet, "ending")
                upstream.service_time_s = SERVICE_TIME_S
                tasks.start_soon(send_order)
                tasks.start_soon(send_later_request, kernel)
                await sleep(WAIT_S)

    async def send_order():
        context.response = await order(fleet, "/order/1", "ending")

    async def send_later_request(kernel):
        before = upstream.requests
        with fail_after(WAIT_S):
            while upstream.requests == before:
                await sleep(0.01)
        at_target.set()
        await sleep(DRAIN_DELAY_S / 2)
        context.readiness_reasons = kernel.find("readiness").reasons()
        secret = fleet.secrets_by_workspace["shop"]
        context.later_response = await fleet.request("ending", "GET", "/find/1", secret)

    async def run():
        async with create_task_group() as tasks:
            tasks.start_soon(run_failing_daemon, tasks)

    context.portal.call(run)


@then("a request sent to that daemon after the error got {status:d}")
def step_later(context, status):
    assert context.later_response.status_code == status, context.later_response.text


@then("a repeat of the order through the first daemon gets the recorded response")
def step_repeated(context):
    response = context.portal.call(order, context.fleet, "/order/1")
    assert response.status_code == 200, response.text
    assert response.content == context.response.content
    (upstream,) = context.fleet.upstreams_by_name.values()
    assert upstream.executions_by_key == {"/order/1": 1}, upstream.executions_by_key


@then("that daemon was not ready after the error")
def step_not_ready(context):
    assert "draining" in context.readiness_reasons, context.readiness_reasons


@when("{part} is cancelled once while a caller sends {method:w}")
def step_cancel(context, part, method):
    fleet: Fleet = context.fleet
    kernel = fleet.kernels_by_vm["vm1"]
    secret = fleet.secrets_by_workspace["shop"]
    dispatcher = kernel.find("dispatcher")

    async def run():
        if part == "a hedged attempt":
            # A hedge delay makes the daemon run each request as a race of attempts.
            dispatcher.hedging.delay_s = lambda *arguments: WAIT_S
        fault = InjectedFault(kernel, Fault("dispatcher", "acquire"), CancelledError())
        if method == "POST":
            context.response = await order(fleet, "/order/1")
        else:
            context.response = await fleet.request("vm1", "GET", "/find/1", secret)
        fault.remove()
        assert fault.calls

    context.portal.call(run)


@then('the daemon responds with the error "{error}"')
def step_states(context, error):
    assert context.response.status_code == 500, context.response.status_code
    assert context.response.json()["type"] == error, context.response.text


errors_by_name = {"LookupError": LookupError(ERROR_TEXT), "Cancelled": CancelledError()}


@when('the method "{method}" of the service "{service}" raises {error} during an order')
def step_claims_raise(context, method, service, error):
    fleet: Fleet = context.fleet
    kernel = fleet.kernels_by_vm["vm1"]

    async def run():
        fault = InjectedFault(kernel, Fault("claims", method), errors_by_name[error])
        context.response = await order(fleet, "/order/1")
        fault.remove()
        assert fault.calls

    context.portal.call(run)


@then('the daemon\'s log names "{name}"')
def step_named(context, name):
    context.portal.call(wait_for_events, context.log_file, name, lambda event: True)
