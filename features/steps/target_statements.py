"""Steps for what targets state of requests and of themselves."""

import asyncio
import json

from anyio import create_task_group, create_tcp_listener, current_time, sleep
from anyio.abc import SocketAttribute
from behave import given, then, when
from httpx import RemoteProtocolError, Request, URL

from features.entry_fleet import HOST, KEY
from primroseturn.requestpath.connection import ExchangeTimeouts, open_connection

# Pause between two requests of callers that send for some time.
REQUEST_INTERVAL_S = 0.04
SETTLE_S = 0.3
TARGET_IDS = {"first": "t1", "second": "t2"}


def target_of(context, ordinal):
    """Return the first or the second target."""
    return context.entry_fleet.entry_targets_by_id[TARGET_IDS[ordinal]]


def log_lines(context, name):
    """Return the events of a name in the log of the VM."""
    text = context.entry_fleet.log_files_by_vm["vm1"].read_text()
    found = [json.loads(line) for line in text.splitlines()]
    return [item for item in found if name in json.dumps(item)]


@given("the {ordinal:w} target states that it is leaving")
def step_leaving(context, ordinal):
    target_of(context, ordinal).is_leaving = True


@given('the {ordinal:w} target wants no requests for "{value}" s after a refusal')
def step_quiet(context, ordinal, value):
    target_of(context, ordinal).retry_after = value


@when("the store lists the first target as ready again")
def step_list_again(context):
    fleet = context.entry_fleet

    async def run():
        # A change of the slots makes a new entry of the same start.
        fleet.list_target("t1", slots=5)
        await sleep(SETTLE_S)

    context.portal.call(run)


@when("the first target starts again under its id")
def step_restart(context):
    fleet = context.entry_fleet
    target = target_of(context, "first")
    target.is_leaving = False
    target.heads.clear()

    async def run():
        fleet.list_target("t1", born=2)
        await sleep(SETTLE_S)

    context.portal.call(run)


@when("callers send {method:w} {path:S} for {seconds:g} s")
def step_send_for(context, method, path, seconds):
    fleet = context.entry_fleet
    context.all_statuses = []

    async def call():
        response = await fleet.send_request(path, method=method)
        context.all_statuses.append(response.status_code)

    async def run():
        end = current_time() + seconds
        async with create_task_group() as tasks:
            while current_time() < end:
                tasks.start_soon(call)
                await sleep(REQUEST_INTERVAL_S)

    context.portal.call(run)


@when("a caller sends POST {path:S} {ids}")
def step_send_ids(context, path, ids):
    fleet = context.entry_fleet
    headers = [("Host", HOST), ("Authorization", f"Bearer {KEY}")]
    if ids == "with two ids":
        headers += [("Attempt-Id", "one"), ("Attempt-Id", "two")]

    async def run():
        return await fleet.http.post(fleet.url_of("vm1", path), headers=headers)

    context.responses = [context.portal.call(run)]


@then("all callers get {status:d}")
def step_all(context, status):
    assert set(context.all_statuses) == {status}, context.all_statuses


@then("the {ordinal:w} target received at most {most:d} request")
@then("the {ordinal:w} target received at most {most:d} requests")
def step_received_at_most(context, ordinal, most):
    received = target_of(context, ordinal).heads
    assert 1 <= len(received) <= most, len(received)


@then("the first target received at least {least:d} requests")
def step_received_at_least(context, least):
    received = target_of(context, "first").heads
    assert len(received) >= least, len(received)


@then('the log of the VM has {count:d} line "{name}"')
def step_log_lines(context, count, name):
    context.portal.call(sleep, SETTLE_S)
    found = log_lines(context, name)
    assert len(found) == count, found


@then("the log of the VM states for it an invalid statement")
def step_log_invalid(context):
    context.portal.call(sleep, SETTLE_S)
    found = log_lines(context, "target-statement-invalid")
    value = target_of(context, "first").retry_after
    assert found and all(value in json.dumps(item) for item in found), found
    # A target with an invalid statement stays in use.
    assert len(target_of(context, "first").heads) >= 2


@then("the log of the VM states for it {seconds:g} s without requests")
def step_log_quiet(context, seconds):
    context.portal.call(sleep, SETTLE_S)
    found = log_lines(context, "target-quiet")
    assert found, "no line"
    assert all(f'"applied_s": {seconds}' in json.dumps(item) for item in found), found


@then("each time to retry is from {least:g} to {most:g} s, and they differ")
def step_retry_spread(context, least, most):
    found = [float(item.headers["retry-after"]) for item in context.responses]
    assert all(least <= item <= most for item in found), found
    assert len(set(found)) > len(found) / 2, found


@given("a connection on which a response arrives as a request is about to be sent")
def step_early_bytes(context):
    received = []

    async def answer(stream):
        async with stream:
            await stream.send(b"HTTP/1.1 503 -\r\ncontent-length: 0\r\n\r\n")
            while True:
                received.append(await stream.receive())

    async def handle(stream):
        try:
            await answer(stream)
        except Exception:
            return

    async def run():
        listener = await create_tcp_listener(local_host="127.0.0.1")
        async with listener, create_task_group() as tasks:
            tasks.start_soon(listener.serve, handle)
            port = listener.extra(SocketAttribute.local_port)
            url = URL(f"http://127.0.0.1:{port}")
            connection = await open_connection(url, None, 1.0)
            while not connection.reader.received_bytes:
                await asyncio.sleep(0.01)
            request = Request("POST", url, extensions={"target": b"/order/1"})
            try:
                await connection.send_request(request, ExchangeTimeouts(1.0, 1.0))
            except RemoteProtocolError as error:
                context.error = error
            else:
                context.error = None
            await sleep(0.1)
            context.was_sent = connection.sent
            context.received = received[:]
            connection.abort()
            tasks.cancel_scope.cancel()

    context.portal.call(run)


@then("the request fails and nothing was sent")
def step_early_refused(context):
    assert context.error is not None and not context.was_sent
    assert not context.received, context.received


@then("the log has missing responses of the targets")
def step_log_missing(context):
    ends = {line["end"] for line in log_lines(context, "entry-attempt-ended")}
    assert "broken" in ends, ends
