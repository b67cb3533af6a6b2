"""Steps for the bound of the memory of requests."""

import json
import re
import sys
from contextlib import ExitStack, suppress
from logging import getLogger, Handler, WARNING
from pathlib import Path
from socket import SO_LINGER, SO_RCVBUF, socket, SOL_SOCKET
from struct import pack
from subprocess import PIPE, Popen
from tempfile import TemporaryDirectory
from unittest.mock import patch

from anyio import create_task_group, current_time, fail_after, sleep
from behave import given, then, when
from httpx import get, HTTPError
from hypothesis import given as for_all, settings, strategies

from features.entry_fleet import route
from features.processes import choose_port
from features.steps.endless_answers import end_target_process, wait_served
from features.steps.entry_process import start_process
from features.steps.entry_requests import start_fleet
from primroseturn.entry.memory import (
    ATTEMPT_BYTES,
    Holder,
    MemoryBudget,
    Phase,
    REQUEST_BYTES,
    STALL_S,
)
from primroseturn.observation.events import EventLog
from primroseturn.serving.heads import HeadSize

KIB = 1024
REQUEST_INTERVAL_S = 0.05
DOCUMENTS_TIMEOUT_S = 15.0
MANY_CONNECTIONS = 100_000
SMALL_BUFFER_BYTES = 4_096
# What a head holds that leaves room for one request when it is released.
LONG_HEAD_BYTES = REQUEST_BYTES + ATTEMPT_BYTES


@given(
    'an entry VM of {size:d} MB as a process and a target in mode "{mode}" for sheets'
)
def step_process(context, size, mode):
    fleet = start_fleet(context)
    command = [sys.executable, "-m", "features.unread_side", mode]
    context.target_process = Popen(command, stdin=PIPE, stdout=PIPE, text=True)
    context.cleanups.append(lambda: end_target_process(context.target_process))
    port = int(context.target_process.stdout.readline())

    async def run():
        paths = fleet.configuration["virtual_hosts"][0]["paths"]
        for path in paths:
            path["timeout_s"] = 30.0
        paths.append(route("calm", "/calm/", "idempotent", service="calm"))
        fleet.configuration["services"][0]["max_conns"] = MANY_CONNECTIONS
        fleet.publish()
        await fleet.add_entry_target("t2", service="calm")
        fleet.list_target("t1", port=port)

    context.portal.call(run)
    directory = TemporaryDirectory()
    context.cleanups.append(directory.cleanup)
    context.log = Path(directory.name) / "log"
    log = context.log.open("wb")
    context.cleanups.append(log.close)
    context.metrics_port = choose_port()
    start_process(
        context,
        log,
        fleet.store_port,
        tables=f"[self.limits]\nmemory_mb = {size}\n",
        errors=log,
        PRIMROSETURN_METRICS_PORT=str(context.metrics_port),
    )
    fleet.entry_ports_by_vm["vm1"] = context.ports["callers"]
    context.portal.call(wait_served, fleet)


@given("{keys:d} keys and {count:d} targets of another service are in force")
def step_large_documents(context, keys, count):
    fleet = context.entry_fleet
    names = [f"key-{number:020d}" for number in range(keys)]

    async def run():
        for number in range(count):
            port = 1 + number % 60_000
            fleet.list_target(f"other-{number:016d}", service="other", port=port)
        fleet.configuration["tenants"].append(
            {"name": "federation", "api_keys": names, "rate_per_s": 0, "burst": 0}
        )
        fleet.publish()
        with fail_after(DOCUMENTS_TIMEOUT_S):
            while True:
                response = await fleet.send_request("/calm/1", key=names[-1])
                if response.status_code == 200:
                    return
                await sleep(0.1)

    context.portal.call(run)


@when(
    "{count:d} callers read nothing while others send GET {other:S} for {seconds:d} s"
)
def step_unread(context, count, other, seconds):
    fleet, target_process = context.entry_fleet, context.target_process
    context.other_results = []

    async def call():
        started = current_time()
        status, delay = 0, None
        with suppress(HTTPError):
            response = await fleet.send_request(other)
            status, delay = response.status_code, response.headers.get("retry-after")
        context.other_results.append((status, current_time() - started, delay))

    async def run():
        async with create_task_group() as tasks:
            until = current_time() + seconds
            while current_time() < until:
                tasks.start_soon(call)
                await sleep(REQUEST_INTERVAL_S)

    port = fleet.entry_ports_by_vm["vm1"]
    print(port, count, seconds + 1, file=target_process.stdin, flush=True)
    context.portal.call(run)
    status = Path(f"/proc/{context.process.pid}/status").read_text()
    context.peak_mb = int(re.search(r"VmHWM:\s+(\d+)", status)[1]) / KIB
    slow = sorted(took for _, took, _ in context.other_results)[-5:]
    statuses = [status for status, _, _ in context.other_results]
    counts = {status: statuses.count(status) for status in set(statuses)}
    print(f"peak {context.peak_mb:.0f} MB, slowest {slow}, {counts}")


@then("the VM runs and used at most {limit:d} MB of memory")
def step_bounded(context, limit):
    assert context.process.poll() is None
    assert context.peak_mb <= limit, context.peak_mb


@then("its metrics state the capacity and what is held")
def step_metrics(context):
    url = f"http://127.0.0.1:{context.metrics_port}/metrics"
    text = get(url, trust_env=False).text
    pattern = r'primroseturn_entry_memory_bytes\{kind="(\w+)"\} (\S+)'
    found = {kind: float(value) for kind, value in re.findall(pattern, text)}
    assert 0 <= found["held"] <= found["capacity"], found


@then("{percentage:d} % of the others were served within {seconds:g} s")
def step_others(context, percentage, seconds):
    results = context.other_results
    good = sum(status == 200 and took <= seconds for status, took, _ in results)
    assert len(results) > 50 and good >= percentage / 100 * len(results), good


@then("each of the others got 200, or at once 503 with the time to come back")
def step_true_answers(context):
    for status, took, delay in context.other_results:
        assert status == 200 or (status == 503 and took < 1.0 and delay), (status, took)


def logged(context, name):
    """Return the log entries of an event."""
    lines = context.log.read_text().splitlines()
    return [json.loads(line) for line in lines if f'"{name}"' in line]


@then("the shortage is logged with the target and the workspace that hold the most")
def step_shortage_logged(context):
    entry = logged(context, "memory-short")[0]
    assert max(entry["by_target"], key=entry["by_target"].get) == "t1", entry
    assert list(entry["by_workspace"]) == ["shop"], entry


@then("connections without progress were closed for others")
def step_evicted(context):
    evictions = logged(context, "connection-evicted")
    assert evictions
    assert all(entry["stalled_s"] >= STALL_S for entry in evictions)
    assert all(entry["target"] == "t1" for entry in evictions)


class Caller:
    """A caller of whose response some bytes are not sent yet."""

    def __init__(self):
        self.unsent = 1_000_000
        self.is_evicted = False

    def evict(self):
        """Record the eviction."""
        self.is_evicted = True


def start_request(context, budget):
    """Start a request that delivers its response and return its caller and holding."""
    caller = Caller()
    holding = context.stack.enter_context(
        budget.hold(Holder("r", "shop"), 0, caller.evict, lambda: caller.unsent)
    )
    return caller, holding


@given("a budget of which all but one request is held")
def step_full(context):
    context.stack = ExitStack()
    context.cleanups.append(context.stack.close)
    context.clock = 100.0
    change = patch("primroseturn.entry.memory.current_time", lambda: context.clock)
    change.start()
    context.cleanups.append(change.stop)
    context.budget = MemoryBudget(300_000_000, EventLog("vm1"))
    context.requests = []
    while context.budget.has_room(REQUEST_BYTES + ATTEMPT_BYTES, 0.9):
        context.requests.append(start_request(context, context.budget))


@when("a caller reads 1 byte each 0.5 s and another reads nothing for 2 s")
def step_slow_reader(context):
    (slow, slow_holding), (_, stuck_holding) = context.requests[:2]
    for holding in (slow_holding, stuck_holding):
        holding.enter(Phase.DELIVERING)
    slow_holding.sample(context.clock)
    stuck_holding.sample(context.clock)
    for _ in range(4):
        context.clock += 0.5
        slow.unsent -= 1
        for _, holding in context.requests:
            holding.sample(context.clock)


@when("a request arrives")
def step_arrives(context):
    context.arrived = start_request(context, context.budget)


@then("the caller that reads nothing is evicted and the other is not")
def step_stuck_evicted(context):
    (slow, _), (stuck, _), *others = context.requests
    assert context.arrived[1] is not None
    assert stuck.is_evicted and not slow.is_evicted
    assert not any(caller.is_evicted for caller, _ in others)


class CallerTransport:
    """The connection of a caller that may be closed."""

    def __init__(self):
        self.is_aborted = False

    def abort(self):
        """Record the end of the connection."""
        self.is_aborted = True


@when("one caller sends a part of its head each 0.5 s and another stops for 2 s")
def step_partial_heads(context):
    budget = context.budget
    for _ in range(2):
        # Makes room for two heads.
        context.requests.pop()[1].budget.release(next(reversed(budget.holdings)))
    context.going_on, context.stopped = CallerTransport(), CallerTransport()
    assert budget.try_hold_head(context.stopped, LONG_HEAD_BYTES)
    assert budget.try_hold_head(context.going_on, LONG_HEAD_BYTES - 4)
    for missing in (3, 2, 1, 0):
        context.clock += 0.5
        assert budget.try_hold_head(context.going_on, LONG_HEAD_BYTES - missing)
    while budget.has_room(REQUEST_BYTES + ATTEMPT_BYTES, 0.9):
        context.requests.append(start_request(context, budget))


@when("a caller pauses for 2 s in a long head and sends a part that does not fit")
def step_paused_head(context):
    budget, context.paused = context.budget, CallerTransport()
    context.requests.pop()
    budget.release(next(reversed(budget.holdings)))
    assert budget.try_hold_head(context.paused, LONG_HEAD_BYTES)
    context.clock += 2.0
    context.has_fitted = budget.try_hold_head(context.paused, 3 * LONG_HEAD_BYTES)


@then("the part is refused and its connection is not closed")
def step_paused_kept(context):
    assert not context.has_fitted and not context.paused.is_aborted


@then("only the connection of the caller that stopped is closed")
def step_stopped_closed(context):
    assert context.arrived[1] is not None
    assert context.stopped.is_aborted and not context.going_on.is_aborted
    assert not any(caller.is_evicted for caller, _ in context.requests)
    held = context.budget.held_bytes
    context.budget.release_head(context.stopped)
    assert context.budget.held_bytes == held
    context.budget.release_head(context.going_on)
    assert context.budget.held_bytes == held - LONG_HEAD_BYTES


HEAD_LINES = strategies.lists(
    strategies.text("ab:\r ", min_size=1, max_size=5).map(
        lambda text: text.strip("\r") + "x"
    ),
    min_size=1,
    max_size=20,
)


@then("any parts of a head and a body give the bytes and lines of the head")
def step_head_size(context):
    @settings(max_examples=300, deadline=None)
    @for_all(
        HEAD_LINES,
        strategies.sampled_from([b"\n", b"\r\n"]),
        strategies.binary(max_size=20),
        strategies.lists(strategies.integers(0, 200), max_size=10),
    )
    def check(lines, line_end, body, cuts):
        head = b"".join(line.encode() + line_end for line in lines) + line_end
        data = head + body
        bounds = sorted(min(cut, len(data)) for cut in cuts)
        size = HeadSize()
        for start, end in zip([0, *bounds], [*bounds, len(data)], strict=True):
            # What follows a head is the parser's, which ends the measurement.
            if start < len(head):
                size.add(data[start:end])
        assert size.received_bytes == len(head)
        assert size.lines == len(lines) + 1

    check()


@when("the requests wait for their targets for 10 s")
def step_waiting(context):
    for _, holding in context.requests:
        holding.enter(Phase.WAITING)
    context.clock += 10.0


@then("a further request does not fit and none is evicted")
def step_none_evicted(context):
    assert start_request(context, context.budget)[1] is None
    assert not any(caller.is_evicted for caller, _ in context.requests)


steps = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["start", "grow", "stall", "deliver", "end"]),
        strategies.integers(0, 1_000_000),
    ),
    max_size=60,
)


@then(
    "in any sequence of requests the held bytes end at 0 and stay within the capacity"
)
def step_any_sequence(context):
    context.clock = 100.0

    @settings(max_examples=200, deadline=None)
    @for_all(steps)
    def check(sequence):
        budget = MemoryBudget(82_000_000, EventLog("vm1"))
        open_requests = []
        for action, number in sequence:
            context.stack = ExitStack()
            if action == "start":
                found = start_request(context, budget)
                open_requests.append((found[1], context.stack))
            elif action == "stall":
                context.clock += 1.0
            elif open_requests:
                holding, stack = open_requests[number % len(open_requests)]
                if action == "end":
                    stack.close()
                    open_requests.remove((holding, stack))
                elif holding is not None and action == "grow":
                    holding.try_grow(number)
                elif holding is not None:
                    holding.enter(Phase.DELIVERING)
            assert 0 <= budget.held_bytes <= budget.capacity_bytes
        for _, stack in open_requests:
            stack.close()
        assert budget.held_bytes == 0 and not budget.holdings

    with patch("primroseturn.entry.memory.current_time", lambda: context.clock):
        check()


@given("its responses have {size:d} bytes and no memory is left to buffer them")
def step_no_buffers(context, size):
    fleet = context.entry_fleet
    fleet.entry_targets_by_id["t1"].body = b"b" * size
    budget = fleet.kernels_by_vm["vm1"].find("memory")
    budget.add(budget.capacity_bytes // 2)


@when("a request arrives while the requests under way hold all memory")
def step_exhausted(context):
    fleet = context.entry_fleet
    budget = fleet.kernels_by_vm["vm1"].find("memory")

    async def run():
        held = budget.capacity_bytes * 19 // 20 - budget.held_bytes
        budget.add(held)
        context.response = await fleet.send_request("/lookup/1")
        budget.add(-held)
        context.next_response = await fleet.send_request("/lookup/1")

    context.portal.call(run)


@then('it gets 503 "{kind}" with the time to come back')
def step_refused(context, kind):
    response = context.response
    assert response.status_code == 503 and response.json()["type"] == kind
    assert float(response.headers["retry-after"]) > 0
    assert response.json()["ran"] == "no"


@then("the next request gets 200")
def step_next(context):
    assert context.next_response.status_code == 200


class Records(Handler):
    """Keeps log records."""

    def __init__(self):
        super().__init__(WARNING)
        self.records = []

    def emit(self, record):
        """Keep a record."""
        self.records.append(record.getMessage())


@when("{count:d} callers send GET {path:S} and leave after the first bytes")
def step_leave(context, count, path):
    fleet = context.entry_fleet
    # asyncio logs what is written to a closed connection.
    context.records = Records()
    logger = getLogger("asyncio")
    logger.addHandler(context.records)
    context.cleanups.append(lambda: logger.removeHandler(context.records))

    for _ in range(count):
        headers = fleet.caller_headers()
        lines = [f"GET {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
        caller = socket()
        # The response waits in the VM, as the caller's side takes little of it.
        caller.setsockopt(SOL_SOCKET, SO_RCVBUF, SMALL_BUFFER_BYTES)
        caller.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
        caller.connect(("127.0.0.1", fleet.entry_ports_by_vm["vm1"]))
        caller.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
        caller.recv(100)
        caller.close()
    context.portal.call(sleep, 0.5)


@then("nothing is written to their closed connections")
def step_nothing_written(context):
    assert not context.records.records, context.records.records


@then("a caller that sends GET {path:S} gets {status:d}")
def step_gets(context, path, status):
    response = context.portal.call(context.entry_fleet.send_request, path)
    assert response.status_code == status
