"""Steps for callers that send requests before earlier ones are answered."""

import re

from anyio import connect_tcp, create_task_group, EndOfStream, fail_after, sleep
from behave import given, then, when

from features.entry_fleet import HOST, KEY, LOOPBACK
from features.steps.entry_requests import start_vm

TIMEOUT_S = 5.0
READ_BYTES = 65_536


def request_bytes(number):
    """Return one idempotent request."""
    lines = [
        f"GET /lookup/{number} HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: pipelined-{number}",
        "Deadline-Ms: 4000",
        f"Authorization: Bearer {KEY}",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def send_requests(context, count):
    """Open a connection and send requests in one write."""
    port = context.entry_fleet.entry_ports_by_vm["vm1"]
    stream = await connect_tcp(LOOPBACK, port)
    await stream.send(b"".join(map(request_bytes, range(count))))
    return stream


async def receive_until(stream, is_complete):
    """Receive until the received bytes are complete or the connection closes."""
    received = b""
    with fail_after(TIMEOUT_S):
        while not is_complete(received):
            try:
                received += await stream.receive(READ_BYTES)
            except EndOfStream:
                break
    return received


def runs(context):
    """Return the ids of the requests that ran at any target."""
    targets = context.entry_fleet.entry_targets_by_id.values()
    return [attempt for target in targets for attempt in target.runs]


async def wait_first_run(context):
    """Wait until a request runs."""
    with fail_after(TIMEOUT_S):
        while not runs(context):
            await sleep(0.005)


@given("an entry VM with 1 target that works for {seconds:g} s")
def step_working_target(context, seconds):
    start_vm(context, 1, {})
    context.entry_fleet.entry_targets_by_id["t1"].work_s = seconds


@when("a caller sends {count:d} requests at once on one connection")
def step_send(context, count):
    async def run():
        async with await send_requests(context, count) as stream:
            context.received = await receive_until(
                stream, lambda data: data.count(b"whole body") == count
            )

    context.portal.call(run)


@then("the {count:d} responses arrive in order, each with the id of its request")
def step_in_order(context, count):
    statuses = re.findall(rb"HTTP/1.1 (\d+)", context.received)
    assert statuses == count * [b"200"], context.received
    ids = re.findall(rb"(?i)attempt-id: pipelined-(\d+)", context.received)
    assert list(map(int, ids)) == list(range(count)), ids


@then("each of the requests ran once")
def step_ran_once(context):
    found = sorted(runs(context))
    assert found == [f"pipelined-{number}" for number in range(6)], found


@when(
    "a caller sends {count:d} requests at once and a planned stop begins during the "
    "first"
)
def step_stop(context, count):
    async def run():
        async with await send_requests(context, count) as stream:
            await wait_first_run(context)
            async with create_task_group() as tasks:
                tasks.start_soon(context.entry_fleet.stop, "vm1")
                context.received = await receive_until(stream, lambda data: False)

    context.portal.call(run)
    del context.entry_fleet.kernels_by_vm["vm1"]


@then("the connection closes after {count:d} whole response, which announces it")
def step_closed(context, count):
    assert context.received.count(b"HTTP/1.1 200") == count, context.received
    assert context.received.count(b"whole body") == count, context.received
    assert b"connection: close" in context.received.lower(), context.received


@when(
    "a caller sends {count:d} requests at once and leaves {seconds:g} s after the "
    "first runs"
)
def step_leave(context, count, seconds):
    async def run():
        async with await send_requests(context, count):
            await wait_first_run(context)
            await sleep(seconds)

    context.portal.call(run)


@then("the running request is cut at its target within {seconds:g} s")
def step_cut(context, seconds):
    target = context.entry_fleet.entry_targets_by_id["t1"]

    async def run():
        with fail_after(seconds):
            while target.cut_runs != ["pipelined-0"]:
                await sleep(0.005)

    context.portal.call(run)


@then("{count:d} of the requests ran")
def step_count(context, count):
    context.portal.call(sleep, 0.3)
    assert len(runs(context)) == count, runs(context)


@when("a caller sends {count:d} requests at once and leaves without a wait")
def step_leave_at_once(context, count):
    async def run():
        async with await send_requests(context, count):
            pass

    context.portal.call(run)


@then("at most the first request ran, and it is cut within {seconds:g} s")
def step_none_runs(context, seconds):
    target = context.entry_fleet.entry_targets_by_id["t1"]
    context.portal.call(sleep, seconds)
    assert target.runs in ([], ["pipelined-0"]), target.runs
    assert target.cut_runs == target.runs, (target.cut_runs, target.runs)
