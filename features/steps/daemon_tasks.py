"""Steps for errors in the background tasks of a daemon."""

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
from primroseturn.claims.claims import form_change
from primroseturn.claims.models import Operation
from primroseturn.configuration import withdrawals
from primroseturn.configuration.messages import ConfigurationChange
from primroseturn.configuration.models import Change
from primroseturn.control.bus import Sender
from primroseturn.daemon import DAEMON_SERVICES
from primroseturn.kernel.kernel import run_kernel
from primroseturn.observation import clocks
from primroseturn.observation.output import LogWriter

WAIT_S = 5.0
# Time for an error to take effect elsewhere before the target answers.
EFFECT_S = 0.1
INTERVAL_S = 0.1
BATCH_PAUSE_S = 0.013
WORK_S = 0.7
DRAIN_DELAY_S = 0.4
SECTIONS = {
    "control": {"heartbeat_interval_s": INTERVAL_S},
    "upstreams": {"load_interval_s": INTERVAL_S},
    "claims": {"commit_interval_s": BATCH_PAUSE_S},
    # Renewed 36 times in a lease.
    "limits": {"owner_lease_s": 36 * INTERVAL_S, "loan_s": 0.5},
}
BROKEN_OPERATION = Operation("shop", "broken", "attempt-of-the-test", "0")


def is_broken_claim(change):
    return change.operation_id == BROKEN_OPERATION.operation_id


def is_broken_batch(prefix, changes):
    return any(is_broken_claim(change) for change in changes)


parts_by_name = {
    "the sending of heartbeats": Fault("heartbeats", "report_links"),
    "the tick of the dispatcher": Fault("dispatcher", "tick"),
    "the follower of the configuration": Fault(
        "configuration.follower", "follow_log_once"
    ),
    "the follower of the lists": Fault("configuration.follower", "follow_lists_once"),
    "the fetch of changes from a peer": Fault("configuration.relay", "apply_part"),
    "the fetch of lists from a peer": Fault("configuration.listings", "apply"),
    "the recording of a withdrawn key": Fault(withdrawals, "propose_change"),
    "the choice of withdrawals to record": Fault("withdrawals", "must_record"),
    "the settling of claims": Fault("claims", "commit_change", is_broken_claim),
    "a batch of claims": Fault("claims.committer", "commit", is_broken_batch),
    "the pause before a batch of claims": Fault(
        "claims.clock", "sleep", lambda delay_s: delay_s == BATCH_PAUSE_S
    ),
    "the borrowing of tokens": Fault("admission.borrower", "run_round"),
    "the keeping of units": Fault("admission.ownership", "settle"),
    "the renewal of the owner's lease": Fault("admission.session", "renew"),
    "the probes of clocks": Fault(clocks, "choose_peer"),
    "the exchange of digests": Fault("digests", "send_round"),
    "the poller of loads": Fault("loads", "near_targets"),
    "one probe of a load": Fault("dispatcher.balancer", "record_load"),
    "the writer of the log": Fault(LogWriter, "next_batch"),
}


async def change_configuration(fleet, kernel):
    fleet.configure("workspace", "further", {"name": "further", "rate": 1, "burst": 1})


async def change_list(fleet, kernel):
    fleet.list_targets("search")


async def announce_change(fleet, kernel):
    version = kernel.find("replica").state.version + 2
    change = Change(version, "", "", "workspace", "none", None)
    relay = kernel.find("configuration").relay
    await relay.accept(Sender("vm2", "any", 1), ConfigurationChange([change]))


async def fetch_lists(fleet, kernel):
    listing = kernel.find("listing")
    listing.versions_by_list["search"] -= 1
    kernel.find("configuration").listings.start_fetch("vm2")


async def withdraw_key(fleet, kernel):
    key_id = fleet.key_ids_by_workspace["office"]
    kernel.find("withdrawals").accepted_here.add(key_id)
    kernel.find("replica").withdraw(key_id, "test")


async def choose_recorded(fleet, kernel):
    kernel.find("replica").withdraw(fleet.key_ids_by_workspace["office"], "test")


async def release_claim(fleet, kernel):
    kernel.find("claims").release_later(BROKEN_OPERATION)


async def submit_claim(fleet, kernel):
    change = form_change("claim", BROKEN_OPERATION)
    with fail_after(WAIT_S):
        reply = await kernel.find("claims").batches.submit(change)
    assert reply.verdict == "unavailable", reply


async def wake_share(fleet, kernel):
    for share in kernel.find("admission").shares_by_workspace.values():
        share.woken.set()
        share.ledger_woken.set()


provocations_by_name = {
    "the follower of the configuration": change_configuration,
    "the follower of the lists": change_list,
    "the fetch of changes from a peer": announce_change,
    "the fetch of lists from a peer": fetch_lists,
    "the recording of a withdrawn key": withdraw_key,
    "the choice of withdrawals to record": choose_recorded,
    "the settling of claims": release_claim,
    "a batch of claims": submit_claim,
    "the pause before a batch of claims": submit_claim,
    "the borrowing of tokens": wake_share,
    "the keeping of units": wake_share,
}


@given("{count:d} daemons that log, with {targets:d} target")
@given("{count:d} daemon that logs, with {targets:d} target")
def step_daemons(context, count, targets):
    directory = TemporaryDirectory()
    context.cleanups.append(directory.cleanup)
    context.log_file = Path(directory.name, "vm1.jsonl")
    for name in ("FIRST_PROBE_S", "PROBE_INTERVAL_S"):
        context.cleanups.append(partial(setattr, clocks, name, getattr(clocks, name)))
        setattr(clocks, name, INTERVAL_S)
    manager = context.portal.wrap_async_context_manager(run_fleet())
    fleet = context.fleet = manager.__enter__()
    context.cleanups.append(lambda: manager.__exit__(None, None, None))
    add_daemon = fleet.add_daemon

    async def add_logging_daemon(vm):
        logs = {"events_file": str(context.log_file)} if vm == "vm1" else {}
        return await add_daemon(vm, **SECTIONS, **({"logs": logs} if logs else {}))

    async def fill():
        fleet.add_daemon = add_logging_daemon
        fleet.add_workspace("office")
        await fill_fleet(fleet, targets, count)
        for vm in fleet.kernels_by_vm:
            await wait_served(fleet, vm)

    context.portal.call(fill)


async def wait_served(fleet: Fleet, vm: str) -> None:
    """Wait until a daemon that has just started admits requests."""
    secret = fleet.secrets_by_workspace["shop"]
    with fail_after(WAIT_S):
        while (await fleet.request(vm, "GET", "/find/1", secret)).status_code != 200:
            await sleep(0.02)


async def order(fleet: Fleet, path: str, vm: str = "vm1"):
    """Send an order that must not repeat."""
    return await fleet.request(
        vm,
        "POST",
        path,
        fleet.secrets_by_workspace["shop"],
        headers={"idempotency-key": path},
        content=b"{}",
    )


class HeldWork:
    """Lets the target wait with its answers until it is told to go on."""

    def __init__(self, fleet: Fleet) -> None:
        (upstream,) = fleet.upstreams_by_name.values()
        self.released = Event()
        self.arrived = Event()
        self.usual = upstream.run_in_slot
        upstream.run_in_slot = self.run_in_slot

    async def run_in_slot(self, *arguments):
        self.arrived.set()
        await self.released.wait()
        await self.usual(*arguments)


@when("{name} fails in a daemon while an order is at its target")
def step_fail(context, name):
    fleet: Fleet = context.fleet

    async def run():
        work = HeldWork(fleet)
        kernel = fleet.kernels_by_vm["vm1"]

        async def provoke(fault: InjectedFault):
            if name in provocations_by_name:
                await provocations_by_name[name](fleet, kernel)
            with fail_after(WAIT_S):
                while not fault.calls:
                    await sleep(0.01)
            await sleep(EFFECT_S)
            work.released.set()

        context.answer = await request_during_fault(
            partial(order, fleet, "/order/1"),
            work.arrived.is_set,
            kernel,
            parts_by_name[name],
            LookupError(ERROR_TEXT),
            provoke,
        )

    context.portal.call(run)


@then("the order gets {status:d} and ran once")
def step_answered(context, status):
    assert context.answer.status_code == status, context.answer.text
    (upstream,) = context.fleet.upstreams_by_name.values()
    assert upstream.executions_by_key == {"/order/1": 1}, upstream.executions_by_key


@then('the daemon\'s log names the failed task "{task}"')
def step_logged(context, task):
    context.portal.call(wait_for_failed_task, context.log_file, task)


@then("a further order gets {status:d}")
def step_further(context, status):
    answer = context.portal.call(order, context.fleet, "/order/2")
    assert answer.status_code == status, answer.text


@when('a key is withdrawn while the messages to "{vm}" fail')
def step_withdraw(context, vm):
    fleet: Fleet = context.fleet
    kernel = fleet.kernels_by_vm["vm1"]
    key_id = fleet.key_ids_by_workspace["office"]
    part = Fault("withdrawals", "ask", lambda name, *rest: name == vm)

    async def run():
        fault = InjectedFault(kernel, part, LookupError(ERROR_TEXT))
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


async def wait_until_broken(fault: InjectedFault):
    """Mend a part after its first failure."""
    with fail_after(WAIT_S):
        while not fault.calls:
            await sleep(0.01)
    fault.remove()


@when("The router fails once at a new route")
def step_fail_router(context):
    fleet: Fleet = context.fleet
    kernel = fleet.kernels_by_vm["vm1"]

    async def run():
        part = Fault("router", "install")
        fault = InjectedFault(kernel, part, LookupError(ERROR_TEXT))
        body = {"name": "late", "path_prefix": "/late", "service": "search"}
        fleet.configure("route", "late", body)
        await wait_until_broken(fault)

    context.portal.call(run)


@then("the new route is served within {limit_s:g} s")
def step_new_route(context, limit_s):
    fleet: Fleet = context.fleet
    secret = fleet.secrets_by_workspace["shop"]

    async def run():
        with fail_after(limit_s):
            while True:
                answer = await fleet.request("vm1", "GET", "/late/1", secret)
                if answer.status_code == 200:
                    return
                await sleep(0.02)

    context.portal.call(run)


@when("The balancer fails once at a new target")
def step_fail_balancer(context):
    fleet: Fleet = context.fleet
    kernel = fleet.kernels_by_vm["vm1"]

    async def run():
        part = Fault("dispatcher", "apply_listing")
        fault = InjectedFault(kernel, part, LookupError(ERROR_TEXT))
        await fleet.add_upstream("target2", "search")
        await wait_until_broken(fault)

    context.portal.call(run)


@then("the new target gets orders within {limit_s:g} s")
def step_new_target(context, limit_s):
    fleet: Fleet = context.fleet

    async def run():
        number = 0
        with fail_after(limit_s):
            while not fleet.upstreams_by_name["target2"].requests:
                number += 1
                await order(fleet, f"/order/{number}")

    context.portal.call(run)


@when("the daemon gets {names} while an order is at its target")
def step_signals(context, names):
    fleet = context.processes

    async def run():
        await fleet.set_faults("target1", {"extra_delay_s": WORK_S})
        async with create_task_group() as tasks:
            tasks.start_soon(call)
            with fail_after(WAIT_S):
                while await count_requests() == before:
                    await sleep(0.01)
            process = fleet.processes_by_name.pop("vm1")
            for name in names.split(" and "):
                process.send_signal(Signals[name])
                await sleep(EFFECT_S)
        context.exit_code = await process.wait()

    async def call():
        headers = {"x-api-key": fleet.secret, "idempotency-key": "1"}
        context.answer = await fleet.http.post(
            fleet.url("vm1", "/order/1"), headers=headers, content=b"{}"
        )

    async def count_requests():
        response = await fleet.http.get(fleet.url("target1", "/control/counters"))
        return response.json()["requests"]

    before = context.portal.call(count_requests)
    context.portal.call(run)


@then("the order gets {status:d} and the process ends with code {code:d}")
def step_ended(context, status, code):
    assert context.answer.status_code == status, context.answer.text
    assert context.exit_code == code, context.exit_code


@when("a service of another daemon raises while an order is at its target")
def step_fail_service(context):
    fleet: Fleet = context.fleet
    (upstream,) = fleet.upstreams_by_name.values()
    callers = {"drain_delay_s": DRAIN_DELAY_S, "drain_limit_s": 1.0}
    settings = fleet.daemon_settings("ending", callers=callers)
    at_target = Event()
    failing = add_failing_service(context, at_target.is_set)

    async def serve(tasks):
        with suppress(ExceptionGroup):
            async with run_kernel(
                ("events", failing, *DAEMON_SERVICES), {"settings": settings}
            ) as kernel:
                fleet.list_daemon("ending", kernel)
                await fleet.wait_ready()
                await wait_served(fleet, "ending")
                upstream.service_time_s = WORK_S
                tasks.start_soon(call)
                tasks.start_soon(call_later, kernel)
                await sleep(WAIT_S)

    async def call():
        context.answer = await order(fleet, "/order/1", "ending")

    async def call_later(kernel):
        before = upstream.requests
        with fail_after(WAIT_S):
            while upstream.requests == before:
                await sleep(0.01)
        at_target.set()
        await sleep(DRAIN_DELAY_S / 2)
        context.reasons = kernel.find("readiness").reasons()
        secret = fleet.secrets_by_workspace["shop"]
        context.later = await fleet.request("ending", "GET", "/find/1", secret)

    async def run():
        async with create_task_group() as tasks:
            tasks.start_soon(serve, tasks)

    context.portal.call(run)


@then("a caller that came after the error got {status:d}")
def step_later(context, status):
    assert context.later.status_code == status, context.later.text


@then("a repeat of the order gets the recorded answer")
def step_repeated(context):
    answer = context.portal.call(order, context.fleet, "/order/1")
    assert answer.status_code == 200, answer.text
    assert answer.content == context.answer.content
    (upstream,) = context.fleet.upstreams_by_name.values()
    assert upstream.executions_by_key == {"/order/1": 1}, upstream.executions_by_key


@then("the other daemon was not ready after the error")
def step_not_ready(context):
    assert "draining" in context.reasons, context.reasons


@when("{name} is cancelled once while a caller sends {method:w}")
def step_cancel(context, name, method):
    fleet: Fleet = context.fleet
    kernel = fleet.kernels_by_vm["vm1"]
    secret = fleet.secrets_by_workspace["shop"]
    dispatcher = kernel.find("dispatcher")

    async def run():
        if name == "a hedged attempt":
            # Makes each request a race of attempts.
            dispatcher.hedging.delay_s = lambda *arguments: WAIT_S
        fault = InjectedFault(kernel, Fault("dispatcher", "acquire"), CancelledError())
        if method == "POST":
            context.answer = await order(fleet, "/order/1")
        else:
            context.answer = await fleet.request("vm1", "GET", "/find/1", secret)
        fault.remove()
        assert fault.calls

    context.portal.call(run)


@then('the daemon\'s answer states an "{kind}"')
def step_states(context, kind):
    assert context.answer.status_code == 500, context.answer.status_code
    assert context.answer.json()["type"] == kind, context.answer.text


errors_by_name = {"LookupError": LookupError(ERROR_TEXT), "Cancelled": CancelledError()}


@when("the {method} of {things} raises {error} while an order is sent")
def step_claims_raise(context, method, things, error):
    fleet: Fleet = context.fleet
    kernel = fleet.kernels_by_vm["vm1"]

    async def run():
        fault = InjectedFault(kernel, Fault("claims", method), errors_by_name[error])
        context.answer = await order(fleet, "/order/1")
        fault.remove()
        assert fault.calls

    context.portal.call(run)


@then('the daemon\'s log names "{name}"')
def step_named(context, name):
    context.portal.call(wait_for_events, context.log_file, name, lambda event: True)
