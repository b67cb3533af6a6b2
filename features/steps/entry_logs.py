"""Steps for the logs and the metrics of an entry VM."""

import io
import json
import os
import re
from collections import Counter
from contextlib import redirect_stderr, redirect_stdout, suppress
from fcntl import F_SETPIPE_SZ, fcntl
from random import Random
from select import select
from time import monotonic, sleep as sleep_blocking

from anyio import create_task_group, fail_after, sleep
from behave import given, then, when
from httpx import AsyncClient, HTTPError
from prometheus_client import REGISTRY

from features.entry_fleet import route
from features.processes import choose_port
from features.steps.background_tasks import request_status
from features.steps.entry_process import start_process, WAIT_S
from features.steps.entry_requests import start_fleet
from primroseturn.cli.main import main
from primroseturn.entry.events import (
    CONFIGURATION_APPLIED,
    REQUEST_FAILED,
    REQUEST_REFUSED,
    REQUEST_SERVED,
)
from primroseturn.entry.process import ENTRY_SERVICES
from primroseturn.kernel.kernel import run_kernel
from primroseturn.limits.quota import RateRefusal
from primroseturn.observation.events import EventLog
from primroseturn.observation.output import LogWriter, MAX_WAITING_LINES
from primroseturn.observation.volume import LogLimiter, MAX_SERVED_LINES_PER_S

# The smallest size of a pipe, which about ten log lines fill.
PIPE_BYTES = 4_096
# Requests whose log lines more than fill it.
FILLING_REQUESTS = 50
# Seconds for which the log is then read.
READ_S = 1.5


def explain(context, request):
    """Return exit code and output of "primroseturn explain" on the logs of all VMs."""
    files = [str(path) for path in context.entry_fleet.log_files_by_vm.values()]
    output, code = io.StringIO(), 0
    with redirect_stdout(output), redirect_stderr(output):
        try:
            main(["explain", request, *files])
        except SystemExit as end:
            code = end.code
    return code, output.getvalue()


@then('the logs explain the request by "{text}"')
def step_explain(context, text):
    context.portal.call(sleep, 0.2)
    request = context.responses[0].request.headers["attempt-id"]
    code, context.explanation = explain(context, request)
    assert code == 0, context.explanation
    cause = context.explanation.partition("cause: ")[2]
    assert text in cause, context.explanation


@given(
    "an entry VM that receives no digests of {others:d} other VMs, and a rate of "
    "{rate:d}"
)
def step_no_digests(context, others, rate):
    fleet = start_fleet(context)
    fleet.configuration["tenants"][0] |= {"rate_per_s": rate, "burst": rate}
    fleet.publish()
    address = {"host": "127.0.0.1", "port": 9, "data_center": "a", "region": "r"}
    for number in range(2, 2 + others):
        # These names come after that of this VM, so that it is the aggregator at once.
        name = f"vm{number}"
        fleet.store.write(f"primroseturn-vms/{name}", {"name": name, **address})

    async def run():
        await fleet.add_entry_target("t1")
        await fleet.add_entry("vm1")

    context.portal.call(run)


def count_refusals(reason):
    """Return the number of refusals for a reason in the metrics of this process."""
    name = "primroseturn_entry_rate_refusals_total"
    return REGISTRY.get_sample_value(name, {"reason": reason})


@when("callers send {count:d} times GET {path:S} at once")
def step_send_at_once(context, count, path):
    fleet = context.entry_fleet
    context.counts_before = {
        reason.value: count_refusals(reason.value) for reason in RateRefusal
    }
    context.all_responses = []

    async def call():
        context.all_responses.append(await fleet.send_request(path))

    async def run():
        async with create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(call)

    context.portal.call(run)


@then("most of the callers get {status:d}")
def step_most(context, status):
    found = [item.status_code for item in context.all_responses]
    assert found.count(status) > len(found) / 2, found
    context.responses = [
        item for item in context.all_responses if item.status_code == status
    ]


@then('the log and the metrics state "{reason}" for each refusal')
def step_reasons(context, reason):
    lines = context.entry_fleet.log_files_by_vm["vm1"].read_text().splitlines()
    events = [json.loads(line) for line in lines if '"entry-refused"' in line]
    found = [event.get("reason") for event in events]
    assert found == [reason] * len(context.responses), found
    for name, before in context.counts_before.items():
        expected = len(context.responses) if name == reason else 0
        assert count_refusals(name) - before == expected, name


@then('they show the events "{names}"')
def step_events(context, names):
    part = context.explanation.partition("state of its VM")[0]
    found = re.findall(r"\d+ (entry-[a-z-]+)", part)
    assert all(name in found for name in names.split(", ")), context.explanation


@when('a task of another VM fails with "{text}"')
def step_crash(context, text):
    fleet = context.entry_fleet
    settings = fleet.settings_of("vm2")

    async def fail_task():
        raise LookupError(text)

    async def run():
        with suppress(ExceptionGroup):
            async with (
                run_kernel(ENTRY_SERVICES, {"settings": settings}) as kernel,
                create_task_group() as tasks,
            ):
                context.readiness = kernel.find("entry-readiness")
                tasks.start_soon(fail_task)

    context.portal.call(run)


@then('the log of that VM names the error "{text}" and its place')
def step_crash_logged(context, text):
    lines = context.entry_fleet.log_files_by_vm["vm2"].read_text().splitlines()
    (event,) = [json.loads(line) for line in lines if '"process-crashed"' in line]
    assert event["reason"] == text, event
    assert event["places"][-1].startswith("fail_task:"), event


@then("that VM was not ready from then on")
def step_crash_unready(context):
    assert context.readiness.reason() == "stopping", context.readiness.reason()


@then('they show the state "{name}"')
def step_state(context, name):
    part = context.explanation.partition("state of its VM")[2].partition("targets:")[0]
    assert name in part, context.explanation


@then('they name the target "{target}" with the end "{end}"')
def step_target(context, target, end):
    assert f"target={target} end={end}" in context.explanation, context.explanation


@then('"primroseturn explain" exits with code {code:d} for another request')
def step_unknown(context, code):
    found, output = explain(context, "attempt-of-nobody")
    assert found == code, output


@given("an entry VM with {count:d} targets that accept no connection")
def step_unreachable(context, count):
    fleet = start_fleet(context)

    async def run():
        for number in range(1, count + 1):
            fleet.list_target(f"t{number}", port=choose_port())
        await fleet.add_entry("vm1")
        await fleet.wait_entries()
        view = fleet.kernels_by_vm["vm1"].find("view")
        with fail_after(WAIT_S):
            while len(view.targets_by_id) < count:
                await sleep(0.02)

    context.portal.call(run)


@when("its configuration is unconfirmed and the store is unavailable")
def step_unconfirmed(context):
    fleet = context.entry_fleet

    async def run():
        fleet.store.faults.outage = True
        fleet.store.wake_watches()
        with fail_after(WAIT_S):
            while fleet.kernels_by_vm["vm1"].find("follower").contact.lost_at is None:
                await sleep(0.02)
        fleet.kernels_by_vm["vm1"].find("view").confirmed_at = None

    context.portal.call(run)


@when("the VM is stopped during a request that would last longer")
def step_stop_during(context):
    fleet = context.entry_fleet

    async def run():
        async with create_task_group() as tasks:
            tasks.start_soon(call)
            await sleep(0.3)
            await fleet.stop("vm1")

    async def call():
        response = await fleet.send_request("/slow/1", method="POST", wait_ms=20_000)
        context.statuses = [response.status_code]

    async def add_route():
        paths = fleet.configuration["virtual_hosts"][0]["paths"]
        paths.append(route("slow", "/slow/", "non_idempotent", timeout_s=20))
        fleet.publish()
        await sleep(1.5)

    context.portal.call(add_route)
    context.portal.call(run)


@then("the caller gets 504, and the log states that the VM stopped before the response")
def step_stopped(context):
    text = context.entry_fleet.log_files_by_vm["vm1"].read_text()
    entries = [json.loads(line) for line in text.splitlines()]
    failed = [entry for entry in entries if entry["message_type"] == "entry-failed"]
    assert [(entry["kind"], entry["ran"]) for entry in failed] == [
        ("stopping", "unknown")
    ], text
    assert failed[0]["detail"] == "this VM stops before the request has ended", text
    assert context.statuses == [504], context.statuses


@given("{factor:d} times the allowed lines of served requests in one second")
def step_many_lines(context, factor):
    log_limiter = LogLimiter({REQUEST_SERVED.number: MAX_SERVED_LINES_PER_S})
    number = REQUEST_SERVED.number
    lines = factor * MAX_SERVED_LINES_PER_S
    context.written = sum(log_limiter.admit(number, 7.5) for _ in range(lines))
    context.left_out = log_limiter.pop_left_out(8.1)


@then("{written:d} of the lines are written and {left_out:d} are counted as omitted")
def step_lines_bounded(context, written, left_out):
    assert context.written == written, context.written
    assert context.left_out == {REQUEST_SERVED.number: left_out}, context.left_out


@given(
    "{served:d} lines of served, {refused:d} of refused and {failed:d} of failed "
    "requests in one second"
)
def step_mixed(context, served, refused, failed):
    log_limiter = LogLimiter({REQUEST_SERVED.number: MAX_SERVED_LINES_PER_S})
    lines = [REQUEST_SERVED] * served
    lines += [REQUEST_REFUSED] * refused + [REQUEST_FAILED] * failed
    Random(1).shuffle(lines)
    context.lines = Counter(
        event.name for event in lines if log_limiter.admit(event.number, 7.5)
    )


@then(
    "{served:d} of served, {refused:d} of refused and {failed:d} of failed requests "
    "are written"
)
def step_mixed_written(context, served, refused, failed):
    events = (REQUEST_SERVED, REQUEST_REFUSED, REQUEST_FAILED)
    found = tuple(context.lines[event.name] for event in events)
    assert found == (served, refused, failed), found


@given("an entry VM as a process whose log is not read yet")
def step_full_pipe(context):
    context.reader, writer = os.pipe()
    context.cleanups.append(lambda: os.close(context.reader))
    fcntl(writer, F_SETPIPE_SZ, PIPE_BYTES)
    start_process(context, writer)
    os.close(writer)
    until = monotonic() + WAIT_S
    while monotonic() < until:
        with suppress(HTTPError):
            request_status(context)
            return
        sleep_blocking(0.05)
    raise AssertionError("the process does not respond")


@when("its callers send {count:d} requests while the pipe of its log is full")
def step_send_full(context, count):
    for _ in range(FILLING_REQUESTS):
        request_status(context)
    context.times_s = []
    for _ in range(count):
        started = monotonic()
        assert request_status(context) == 503
        context.times_s.append(monotonic() - started)


@then("each got a response within {limit:g} s")
def step_response_times(context, limit):
    assert max(context.times_s) <= limit, sorted(context.times_s)[-5:]


@when("its log is read again")
def step_log_read(context):
    text = b""
    until = monotonic() + READ_S
    while monotonic() < until:
        if select([context.reader], [], [], 0.1)[0]:
            text += os.read(context.reader, 65_536)
    # The last line may be incomplete.
    context.log_lines = [json.loads(line) for line in text.split(b"\n")[:-1]]


@then("its lines are numbered without a gap")
def step_no_gap(context):
    numbers = [line["sequence"] for line in context.log_lines]
    assert numbers == list(range(1, len(numbers) + 1)), numbers
    size = sum(len(json.dumps(line)) for line in context.log_lines)
    assert size > 4 * PIPE_BYTES, size


@given("a log that is not read")
def step_unread(context):
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    context.cleanups += [lambda: os.close(reader), lambda: os.close(writer)]

    async def start():
        context.writer = LogWriter(writer)

    context.portal.call(start)


@when("{count:d} events are emitted")
def step_emit(context, count):
    started = monotonic()
    log = EventLog("vm1")

    async def run():
        for number in range(count):
            context.writer({"vm": log.vm, "number": number, "text": "x" * 100})
            if number % 500 == 0:
                context.writer.write_pending()

    context.portal.call(run)
    context.took_s = monotonic() - started


@then("emitting them took at most {limit:g} s")
def step_took(context, limit):
    assert context.took_s <= limit, context.took_s


@then("at most {limit:d} lines are queued")
def step_waiting(context, limit):
    assert limit == MAX_WAITING_LINES
    assert len(context.writer.lines) <= limit, len(context.writer.lines)
    # The newest lines are kept.
    assert b'"number":19999' in context.writer.lines[-1]


@then("its metrics count a served request and a store call")
def step_metrics(context):
    kernel = context.entry_fleet.kernels_by_vm["vm1"]
    port = kernel.find("entry-metrics")

    async def read():
        async with AsyncClient(trust_env=False) as http:
            return (await http.get(f"http://127.0.0.1:{port}/metrics")).text

    text = context.portal.call(read)
    for pattern in (
        r'primroseturn_entry_requests_total\{outcome="served",service="core"\} [1-9]',
        r"primroseturn_store_calls_total\{[^}]*answered[^}]*\} [1-9]",
        r'primroseturn_entry_request_seconds_bucket\{le="0.05",service="core"\}',
    ):
        assert re.search(pattern, text), (pattern, text)


@then(
    "the log of each VM states by which version it refuses the key, and from whom it "
    "came"
)
def step_version_logged(context):
    fleet = context.entry_fleet
    newest = int(fleet.configuration["version"][1:])

    async def run():
        requests = {}
        with fail_after(WAIT_S):
            for vm in fleet.kernels_by_vm:
                response = await fleet.send_request("/lookup/1", vm)
                while response.status_code != 401:
                    await sleep(0.02)
                    response = await fleet.send_request("/lookup/1", vm)
                requests[vm] = response.request.headers["attempt-id"]
        await sleep(0.2)
        return requests

    requests = context.portal.call(run)
    sources = []
    for vm, request in requests.items():
        lines = fleet.log_files_by_vm[vm].read_text().splitlines()
        records = [item for item in map(json.loads, lines) if item["vm"] == vm]
        (refused,) = [
            item
            for item in records
            if item.get("request") == request
            and item["event"] == REQUEST_REFUSED.number
        ]
        assert refused["version"] == newest and refused["view_age_s"] < 2, refused
        (applied,) = [
            item
            for item in records
            if item["event"] == CONFIGURATION_APPLIED.number
            and item["version"] == newest
        ]
        assert applied["previous"] == newest - 1, applied
        sources.append(applied.get("peer", applied["source"]))
        assert f"version={newest}" in explain(context, request)[1]
    assert sorted(sources) == ["store", "vm1", "vm1"], sources


@then("the metric of the ages of confirmations counts the store and other VMs")
def step_ages_counted(context):
    for source in ("store", "vm"):
        count = REGISTRY.get_sample_value(
            "primroseturn_entry_view_age_seconds_count", {"source": source}
        )
        assert count and count > 0, source
