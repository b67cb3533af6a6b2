"""Steps for a fleet of separate processes."""

from contextlib import asynccontextmanager
from pathlib import Path
from tempfile import TemporaryDirectory

from anyio import create_task_group, current_time, fail_after, sleep
from behave import given, then, when
from httpx import AsyncClient, HTTPError, Limits
from msgspec.json import decode

from features.processes import ProcessFleet
from features.traffic import DOCUMENT_BYTES, Traffic

CALLERS = 8
MAX_WITHDRAWAL_DELAY_S = 5.0
ROUTES = (
    {"name": "find", "path_prefix": "/find"},
    {"name": "doc", "path_prefix": "/doc", "download": True},
    {
        "name": "order",
        "path_prefix": "/order",
        "methods": ["POST"],
        "repeatable": False,
    },
)


@asynccontextmanager
async def run_processes(targets: int, daemons: int):
    """Run the processes of a fleet until the context ends."""
    limits = Limits(max_connections=200)
    with TemporaryDirectory() as directory:
        async with AsyncClient(trust_env=False, timeout=15, limits=limits) as http:
            fleet = ProcessFleet(Path(directory), http)
            try:
                await start_fleet(fleet, targets, daemons)
                yield fleet
            finally:
                await fleet.stop_all()


async def start_fleet(fleet: ProcessFleet, targets: int, daemons: int) -> None:
    """Start and configure the processes of a fleet."""
    await fleet.start("store", "standin", "store")
    await fleet.configure("service", "search", {"name": "search"})
    for route in ROUTES:
        await fleet.configure("route", route["name"], {**route, "service": "search"})
    await fleet.add_workspace("shop")
    async with create_task_group() as tasks:
        for number in range(targets):
            tasks.start_soon(fleet.add_upstream, f"target{number + 1}", "search")
    for number in range(daemons):
        await fleet.add_daemon(f"vm{number + 1}")
    for number in range(daemons):
        await fleet.wait_served(f"vm{number + 1}", "/find/start")


async def cause_fault(fleet: ProcessFleet, fault: str) -> None:
    """Cause or remove the fault that a row of a scenario's table states."""
    action, _, rest = fault.partition(" ")
    match action:
        case "pause":
            fleet.pause(rest)
        case "resume":
            fleet.resume(rest)
        case "kill":
            await fleet.kill(rest)
        case "restart":
            await fleet.add_daemon(rest)
        case _:
            await fleet.set_faults(action, decode(rest))


@given("{targets:d} targets, {daemons:d} daemons and a store as separate processes")
def step_processes(context, targets, daemons):
    manager = context.portal.wrap_async_context_manager(run_processes(targets, daemons))
    context.processes = manager.__enter__()
    context.cleanups.append(lambda: manager.__exit__(None, None, None))
    context.vms = [f"vm{number + 1}" for number in range(daemons)]


@when(
    "callers send orders, lookups and downloads with seed {seed:d} during these faults"
)
def step_faults(context, seed):
    fleet = context.processes
    traffic = Traffic(fleet.http, fleet.url, fleet.secret)
    context.traffic = traffic

    async def cause_all():
        started = current_time()
        for row in context.table:
            await sleep(max(0.0, started + float(row["at_s"]) - current_time()))
            await cause_fault(fleet, row["fault"])

    async def run():
        async with create_task_group() as tasks:
            for number in range(CALLERS):
                vms, name = context.vms, f"caller{number}"
                tasks.start_soon(traffic.order_repeatedly, vms, name, seed + number)
                tasks.start_soon(traffic.look_up, vms, name, seed - number - 1)
            await cause_all()
            await sleep(1.0)
            traffic.stopping = True
        context.executions = await fleet.read_executions()

    context.portal.call(run)


def find_operations_with_response(traffic: Traffic) -> set[str]:
    """Return the operations that got a response of a target."""
    return {item.operation for item in traffic.attempts if item.ran == "yes"}


@then("no operation ran more than once")
def step_at_most_once(context):
    repeated = {key: runs for key, runs in context.executions.items() if runs > 1}
    assert not repeated, repeated


@then("every operation that got a response of a target ran exactly once")
def step_response_ran(context):
    with_response = {
        item.operation for item in context.traffic.attempts if item.ran == "yes"
    }
    missing = {key for key in with_response if context.executions.get(key) != 1}
    assert with_response and not missing, missing


@then('no operation ran if each of its attempts was refused with ran "no"')
def step_refusals_true(context):
    ran_by_operation: dict[str, set[str]] = {}
    for item in context.traffic.attempts:
        ran_by_operation.setdefault(item.operation, set()).add(item.ran)
    falsely_refused = {
        key
        for key, ran_values in ran_by_operation.items()
        if ran_values == {"no"} and context.executions.get(key, 0)
    }
    assert not falsely_refused, falsely_refused


@then(
    "each lookup and download with status 200 got the complete response to its request"
)
def step_whole(context):
    assert context.traffic.complete_document_count
    assert not context.traffic.incorrect_paths, context.traffic.incorrect_paths[:5]


@then(
    "at least {orders:d} operations got a response of a target"
    " and {lookups:d} lookups succeeded"
)
def step_progress(context, orders, lookups):
    traffic = context.traffic
    with_response = find_operations_with_response(traffic)
    served = traffic.lookup_count - traffic.failed_lookup_count
    assert len(with_response) >= orders, (len(with_response), len(traffic.attempts))
    assert served >= lookups, (served, traffic.failed_lookup_count)


@when('callers download through "{vm}" and it gets SIGTERM after {delay:g} s')
def step_stop_loaded(context, vm, delay):
    fleet = context.processes
    context.interrupted, context.download_count = [], 0
    headers = {"x-api-key": fleet.secret}

    async def download():
        stopping = False
        while not stopping:
            received = -1
            try:
                url = fleet.url(vm, f"/doc/sheet?size={DOCUMENT_BYTES}")
                async with fleet.http.stream("GET", url, headers=headers) as response:
                    received = 0
                    async for part in response.aiter_bytes():
                        received += len(part)
                        await sleep(0.002)
                    stopping = response.headers.get("connection") == "close"
                if response.status_code == 200 and received != DOCUMENT_BYTES:
                    context.interrupted.append(received)
                context.download_count += 1
            except HTTPError:
                # A draining VM refuses new connections; no download has started then.
                if received >= 0:
                    context.interrupted.append(received)
                stopping = True

    async def run():
        await fleet.set_faults("target1", {"part_delay_s": 0.05})
        async with create_task_group() as tasks:
            for _ in range(CALLERS):
                tasks.start_soon(download)
            await sleep(delay)
            with fail_after(15):
                context.exit_code = await fleet.stop(vm)

    context.portal.call(run)


@then('"{vm}" exits with code {code:d} and no download was interrupted')
def step_stopped(context, vm, code):
    assert context.exit_code == code, context.exit_code
    assert context.download_count >= CALLERS, context.download_count
    assert not context.interrupted, context.interrupted


@when('the key is withdrawn through "{vm}" while callers use it on open connections')
def step_withdraw(context, vm):
    fleet = context.processes
    context.accepted_at_by_vm = {}
    context.stopping = False
    headers = {"x-api-key": fleet.secret}

    async def send_lookups(name):
        while not context.stopping:
            response = await fleet.http.get(fleet.url(name, "/find/x"), headers=headers)
            if response.status_code == 200:
                context.accepted_at_by_vm[name] = current_time()
            await sleep(0.02)

    async def run():
        async with create_task_group() as tasks:
            for name in context.vms:
                tasks.start_soon(send_lookups, name)
            await sleep(0.5)
            body = {
                "key_id": fleet.key_id,
                "workspace": "shop",
                "salt": "00",
                "digest": "00",
                "withdrawn": True,
            }
            await fleet.configure("key", fleet.key_id, body)
            context.withdrawn_at = current_time()
            await sleep(MAX_WITHDRAWAL_DELAY_S + 1.0)
            context.stopping = True

    context.portal.call(run)


@then("no VM accepted the key later than {max_delay_s:g} s after the withdrawal")
def step_withdrawn(context, max_delay_s):
    assert set(context.accepted_at_by_vm) == set(context.vms)
    last_s = max(context.accepted_at_by_vm.values()) - context.withdrawn_at
    assert last_s <= max_delay_s, last_s
