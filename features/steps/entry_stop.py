"""Steps for callers' connections during a planned stop of an entry VM."""

from contextlib import suppress
from itertools import count, islice
from math import inf
from random import Random
from socket import create_connection, SO_RCVBUF, SO_SNDBUF, socket, SOL_SOCKET

from anyio import (
    connect_tcp,
    create_task_group,
    current_time,
    EndOfStream,
    fail_after,
    sleep,
)
from anyio.lowlevel import checkpoint
from behave import given, then, when
from httpx import HTTPError
from hypercorn.asyncio.tcp_server import TCPServer
from hypothesis import given as for_all, strategies

from features.entry_fleet import HOST, KEY, LOOPBACK
from features.steps.relayed_documents import wait_version
from primroseturn.entry.stopping import DURATION_FACTOR, LISTEN_SHARE, StopSchedule
from primroseturn.serving.idle import IdleConnections

STOP_LIMIT_S = 2.0
# Seconds before and after the close of the listener in which callers send requests.
SPREAD_S = 0.05
# Turns of the event loop before and after the close in which requests are sent.
TURNS = 20
READ_BYTES = 65_536
SMALL_BUFFER_BYTES = 4_096
SETTLE_TIMEOUT_S = 5.0
LONG_DEADLINE_MS = 20_000


def request_bytes(method, path, attempt):
    """Return a request of a caller."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {attempt}",
        "Deadline-Ms: 1500",
        f"Authorization: Bearer {KEY}",
        "Content-Length: 0",
    ]
    return "".join(f"{line}\r\n" for line in [*lines, ""]).encode()


@given("{count:d} callers that keep their connections open")
def step_open_connections(context, count):
    fleet = context.entry_fleet

    async def run():
        context.streams = []
        for index in range(count):
            stream = await connect_tcp(LOOPBACK, fleet.entry_ports_by_vm["vm1"])
            await stream.send(request_bytes("GET", "/nowhere/", f"first-{index}"))
            await stream.receive(READ_BYTES)
            context.streams.append(stream)

    context.portal.call(run)


@when(
    "the VM starts to stop and each caller sends POST {path:S} as its listener closes"
)
def step_send(context, path):
    random = Random(3)
    context.responses_by_attempt = {}

    async def run():
        started_at = current_time()
        closes_at = started_at + LISTEN_SHARE * STOP_LIMIT_S
        async with create_task_group() as tasks:
            tasks.start_soon(stop, context)
            for index, stream in enumerate(context.streams):
                at = closes_at + random.uniform(-SPREAD_S, SPREAD_S)
                tasks.start_soon(send, index, stream, at)

    async def send(index, stream, at):
        await sleep(at - current_time())
        attempt = f"order-{index}"
        try:
            await stream.send(request_bytes("POST", f"{path}{index}", attempt))
            with fail_after(STOP_LIMIT_S):
                context.responses_by_attempt[attempt] = await stream.receive(READ_BYTES)
        except (EndOfStream, OSError):
            # The connection was closed; the request may not have run.
            return

    context.portal.call(run)


async def stop(context):
    """Stop the VM and record how long that takes."""
    started_at = current_time()
    await context.entry_fleet.stop("vm1")
    context.stop_took_s = current_time() - started_at


@then("no request ran without a response")
def step_all_responded(context):
    targets = context.entry_fleet.entry_targets_by_id.values()
    runs = {attempt for target in targets for attempt in target.runs}
    served = {
        attempt
        for attempt, response in context.responses_by_attempt.items()
        if response.startswith(b"HTTP/1.1 200")
    }
    assert served, "no request came before the close"
    assert len(served) < len(context.streams), "no request came after the close"
    assert runs <= served, runs - served


@given("a caller that does not read a response of {size:d} bytes")
def step_unread_response(context, size):
    fleet = context.entry_fleet
    (target,) = fleet.entry_targets_by_id.values()
    target.body = b"x" * size
    original = TCPServer.__init__

    def init(self, *arguments):
        original(self, *arguments)
        server_socket = self.writer.get_extra_info("socket")
        server_socket.setsockopt(SOL_SOCKET, SO_SNDBUF, SMALL_BUFFER_BYTES)

    TCPServer.__init__ = init
    caller = socket()
    context.cleanups.append(caller.close)
    try:
        caller.setsockopt(SOL_SOCKET, SO_RCVBUF, SMALL_BUFFER_BYTES)
        caller.connect((LOOPBACK, fleet.entry_ports_by_vm["vm1"]))
        caller.send(request_bytes("GET", "/lookup/1", "unread"))
        context.portal.call(sleep, 0.3)
    finally:
        TCPServer.__init__ = original


@when("the VM is stopped")
def step_stop(context):
    async def run():
        started_at = current_time()
        async with create_task_group() as tasks:
            tasks.start_soon(stop, context)
            (stream,) = context.streams
            with fail_after(10):
                try:
                    await stream.receive(READ_BYTES)
                except (EndOfStream, OSError):
                    context.closed_after_s = current_time() - started_at

    context.portal.call(run)


@then("the open connections were closed within {limit_s:g} s after the stop began")
def step_closed(context, limit_s):
    assert context.closed_after_s <= limit_s, context.closed_after_s


@given("{count:d} connections without a request")
def step_unused_connections(context, count):
    fleet = context.entry_fleet
    context.sockets = []
    for _ in range(count):
        caller = create_connection((LOOPBACK, fleet.entry_ports_by_vm["vm1"]))
        caller.setblocking(False)
        context.cleanups.append(caller.close)
        context.sockets.append(caller)
    # The listener accepts the connections during this pause.
    context.portal.call(sleep, 0.1)


@when(
    "the VM starts to stop and their requests come in the event loop's turns around "
    "the close"
)
def step_first_requests(context):
    original = IdleConnections.close_since
    turns = count()

    async def send():
        for turn in islice(turns, TURNS):
            for index, caller in enumerate(context.sockets):
                if index % (2 * TURNS) == turn:
                    head = request_bytes("POST", f"/order/{index}", f"order-{index}")
                    caller.send(head)
            await checkpoint()

    async def close_since(self, time):
        if time == inf:
            await send()
            tasks.start_soon(send)
        await original(self, time)

    async def run():
        nonlocal tasks
        async with create_task_group() as tasks:
            IdleConnections.close_since = close_since
            await stop(context)

    tasks = None
    try:
        context.portal.call(run)
    finally:
        IdleConnections.close_since = original


@then("none of their requests ran without a response")
def step_first_responded(context):
    targets = context.entry_fleet.entry_targets_by_id.values()
    runs = {attempt for target in targets for attempt in target.runs}
    served, refused = set(), set()
    for index, caller in enumerate(context.sockets):
        with suppress(OSError):
            response = caller.recv(READ_BYTES)
            if response.startswith(b"HTTP/1.1 200"):
                served.add(f"order-{index}")
            elif response.startswith(b"HTTP/1.1 503") and b'"ran":"no"' in response:
                refused.add(f"order-{index}")
    # A VM that stood still at that time refuses what came before.
    assert served or refused, "no request came before the close"
    assert runs <= served, runs - served


@given("{count:d} requests POST {path:S} were served")
def step_served_before(context, count, path):
    async def run():
        async with create_task_group() as tasks:
            for number in range(count):
                tasks.start_soon(send, number)

    async def send(number):
        fleet = context.entry_fleet
        response = await fleet.send_request(f"{path}{number}", method="POST")
        assert response.status_code == 200, response.text

    context.portal.call(run)
    for target in context.entry_fleet.entry_targets_by_id.values():
        target.runs.clear()


@when(
    "the VM starts to stop and each caller sends POST {path:S} at any time of the stop"
)
def step_send_any_time(context, path):
    random = Random(5)
    context.responses_by_attempt = {}
    context.took_s_by_attempt = {}

    async def run():
        began_at = current_time()
        async with create_task_group() as tasks:
            tasks.start_soon(stop, context)
            for index, stream in enumerate(context.streams):
                at = began_at + random.uniform(0.05, STOP_LIMIT_S)
                tasks.start_soon(send, index, stream, at)

    async def send(index, stream, at):
        await sleep(at - current_time())
        attempt = f"order-{index}"
        try:
            await stream.send(request_bytes("POST", f"{path}{index}", attempt))
            with fail_after(2 * STOP_LIMIT_S):
                response = await stream.receive(READ_BYTES)
        except (EndOfStream, OSError):
            return
        context.responses_by_attempt[attempt] = response
        context.took_s_by_attempt[attempt] = current_time() - at

    context.portal.call(run)


@then("requests that could not end in time were refused at once")
def step_refused_at_once(context):
    refused = [
        attempt
        for attempt, response in context.responses_by_attempt.items()
        if response.startswith(b"HTTP/1.1 503")
    ]
    assert refused
    assert all(context.took_s_by_attempt[attempt] < 0.5 for attempt in refused)


@given("its routes give requests {seconds:g} s")
def step_long_routes(context, seconds):
    fleet = context.entry_fleet

    async def run():
        for item in fleet.configuration["virtual_hosts"][0]["paths"]:
            item["timeout_s"] = item["slo_latency_s"] = seconds
        fleet.publish()
        await wait_version(fleet, SETTLE_TIMEOUT_S)

    context.portal.call(run)


@given("{count:d} callers have sent {method:w} {path:S}")
def step_have_sent(context, count, method, path):
    fleet = context.entry_fleet
    targets = fleet.entry_targets_by_id.values()
    context.responses = []

    async def send():
        try:
            response = await fleet.send_request(
                path, method=method, wait_ms=LONG_DEADLINE_MS, timeout=None
            )
        except HTTPError as error:
            response = error
        context.responses.append(response)

    async def start():
        with fail_after(SETTLE_TIMEOUT_S):
            while sum(len(target.arrived_at) for target in targets) < count:
                await sleep(0.01)

    for _ in range(count):
        context.portal.start_task_soon(send)
    context.portal.call(start)


@when("the VM is asked to stop")
def step_asked_to_stop(context):
    context.portal.call(stop, context)


@then('each caller got {status:d} with the type "{kind}" and ran "{ran}"')
def step_truthful(context, status, kind, ran):
    assert len(context.responses) == 5, context.responses
    for response in context.responses:
        assert response.status_code == status, response.text
        body = response.json()
        assert (body["type"], body["ran"]) == (kind, ran), body


@then(
    "a stop with {limit:g} s {decision} a request with {left:g} s left that takes "
    "{typical:g} s after {after:g} s"
)
def step_decision(context, limit, decision, left, typical, after):
    schedule = StopSchedule(limit)
    expected_s = DURATION_FACTOR * typical
    assert schedule.accepts(left, expected_s, 100.0)
    schedule.begin(100.0)
    found = schedule.accepts(left, expected_s, 100.0 + after)
    assert found == (decision == "accepts")


@then(
    "any request that a stop accepts ends in time, or takes over 3 times its typical "
    "duration"
)
def step_any_request(context):
    seconds = strategies.floats(0.01, 12.0)

    @for_all(seconds, seconds, seconds, seconds)
    def check(limit_s, left_s, typical_s, after_s):
        schedule = StopSchedule(limit_s)
        schedule.begin(100.0)
        if schedule.accepts(left_s, DURATION_FACTOR * typical_s, 100.0 + after_s):
            ends_after_s = after_s + min(left_s, DURATION_FACTOR * typical_s)
            assert ends_after_s <= 0.9 * limit_s + 1e-6
            # The platform excuses no cut of a request that was sent later.
            assert left_s <= 0.9 * limit_s - after_s or after_s <= 3.0

    check()
