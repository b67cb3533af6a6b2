"""Steps for the requests of an entry VM."""

from functools import partial
from math import inf
from unittest.mock import patch

from anyio import create_task_group, current_time, fail_after, move_on_after, sleep
from behave import given, then, when
from httpx import HTTPError

from features.entry_fleet import route, run_entry_fleet
from primroseturn.entry.application import FIRST_VIEW_TIMEOUT_S
from primroseturn.requestpath.pool import TargetPool

ARRIVAL_TIMEOUT_S = 10.0
START_TIMEOUT_S = 10.0
MAX_STARTS = 5
MAX_REQUESTS = 40
# Numbers of the last request sent before a stop and of the first one that is checked
# during it; requests are sent each 0.05 s.
LAST_BEFORE_STOP, FIRST_IN_STOP = 5, 7
# Time for the transit of a request from the VM to its target.
TRANSIT_S = 0.05


def start_fleet(context):
    """Start a fleet that is stopped at the end of the scenario."""
    manager = context.portal.wrap_async_context_manager(run_entry_fleet())
    context.entry_fleet = manager.__enter__()
    context.cleanups.append(lambda: manager.__exit__(None, None, None))
    return context.entry_fleet


def start_vm(context, targets, modes, **bounds):
    """Start a VM with `targets` targets; `modes` holds the modes of some by number."""
    fleet = start_fleet(context)

    async def run():
        for number in range(1, targets + 1):
            target = await fleet.add_entry_target(f"t{number}")
            target.usual_mode = modes.get(number, "ok")
        kernel = await fleet.add_entry("vm1", **bounds)
        await fleet.wait_entries()
        with fail_after(START_TIMEOUT_S):
            # Before the first list, a VM assumes a fleet of the usual size.
            while bounds and not kernel.find("fleet").has_list:
                await sleep(0.02)

    context.portal.call(run)


@given("an entry VM with {count:d} target")
@given("an entry VM with {count:d} targets")
def step_targets(context, count):
    start_vm(context, count, {})


@given('an entry VM with {count:d} targets of which the first is in mode "{mode}"')
def step_first_mode(context, count, mode):
    start_vm(context, count, {1: mode})


@given('an entry VM with {count:d} targets in mode "{mode}"')
@given('an entry VM with {count:d} target in mode "{mode}"')
def step_all_modes(context, count, mode):
    start_vm(context, count, dict.fromkeys(range(1, count + 1), mode))


@given(
    "an entry VM that may send {extra:d} repeats, with {count:d} targets in mode "
    '"{mode}"'
)
def step_few_repeats(context, extra, count, mode):
    modes = dict.fromkeys(range(1, count + 1), mode)
    start_vm(context, count, modes, repeat_ratio=0.0, repeat_extra=float(extra))


def arrivals_by_attempt(context):
    """Return the arrivals of each attempt of a caller at targets, in order.

    An arrival is its monotonic time and the time until the deadline that the target
    received, both in seconds.
    """
    found = {}
    for target in context.entry_fleet.entry_targets_by_id.values():
        for at, (_, _, headers) in zip(target.arrived_at, target.heads, strict=True):
            deadline_s = int(headers["deadline-ms"]) / 1000
            found.setdefault(headers["attempt-id"], []).append((at, deadline_s))
    return {attempt: sorted(arrivals) for attempt, arrivals in found.items()}


def repeats_of(context):
    """Return the arrivals of attempts that were sent to more than one target."""
    return [item for item in arrivals_by_attempt(context).values() if len(item) > 1]


@then("at least {least:d} request was sent to two targets")
def step_repeated(context, least):
    assert len(repeats_of(context)) >= least


@then("the second target received no later deadline than the first")
def step_deadlines(context):
    for (first_at, first_s), (second_at, second_s), *_ in repeats_of(context):
        assert second_at + second_s <= first_at + first_s + TRANSIT_S, second_s


@then(
    "at least {least:d} and at most {most:d} of the requests were sent to two targets"
)
def step_repeats(context, least, most):
    assert least <= len(repeats_of(context)) <= most, len(repeats_of(context))


@then("only responses with {status:d} have the signature of a target")
def step_signature(context, status):
    for response in context.responses:
        signed = "response-signature" in response.headers
        assert signed == (response.status_code == status), response.headers


@then('the VM is not ready because of "{reason}"')
def step_unready(context, reason):
    kernel = context.entry_fleet.kernels_by_vm["vm1"]
    assert kernel.find("entry-readiness").reason() == reason


@given("an entry VM with 2 targets of which the first has the address of another")
def step_reused(context):
    start_vm(context, 2, {})
    first = context.entry_fleet.entry_targets_by_id["t1"]
    first.id = "another"


@given("an entry VM whose store is unavailable")
def step_no_store(context):
    fleet = start_fleet(context)
    fleet.store.faults.outage = True
    context.portal.call(fleet.add_entry, "vm1")


@given("a target and a store that takes {seconds:g} s for a response")
def step_slow_store(context, seconds):
    fleet = start_fleet(context)
    fleet.store.faults.delay_s = seconds
    context.portal.call(fleet.add_entry_target, "t1")


@when("a caller sends GET {path:S} to a VM that restarts")
def step_send_at_start(context, path):
    for _ in range(MAX_STARTS):
        response, first_view_s = context.portal.call(
            send_at_start, context.entry_fleet, path
        )
        context.responses = [response]
        # If the computer pauses for longer than the wait for the first view, a refusal
        # is correct. Such a start does not test the wait.
        if response.status_code == 200 or first_view_s <= FIRST_VIEW_TIMEOUT_S:
            return
        context.portal.call(context.entry_fleet.stop, "vm1")


async def send_at_start(fleet, path):
    """Start a VM and send it a request at once.

    Returns
    -------
    tuple
        The response, and the time in seconds after which the VM had its first view.
    """
    # The object of an earlier start of the VM.
    own = {"name": "vm1", "host": "127.0.0.1", "port": 1}
    location = {"data_center": "a", "region": "r"}
    fleet.store.write("primroseturn-vms/vm1", {**own, **location})
    view = (await fleet.add_entry("vm1")).find("view")
    sent_at, first_view_s = current_time(), inf
    responses = []

    async def send():
        responses.append(await fleet.send_request(path))

    async with create_task_group() as tasks:
        tasks.start_soon(send)
        with move_on_after(START_TIMEOUT_S):
            while not view.is_complete():
                await sleep(0.002)
            first_view_s = current_time() - sent_at
    return responses[0], first_view_s


@given("its responses have {size:d} bytes")
def step_size(context, size):
    for target in context.entry_fleet.entry_targets_by_id.values():
        target.body = bytes(range(256)) * (size // 256)


@given("the second target accepts its first connection too late")
def step_late_connection(context):
    acquire = TargetPool.acquire
    late = []

    async def acquire_late(pool, target_id, *arguments):
        if target_id == "t2" and not late:
            late.append(target_id)
            raise TimeoutError
        return await acquire(pool, target_id, *arguments)

    late_connection = patch.object(TargetPool, "acquire", acquire_late)
    late_connection.start()
    context.cleanups.append(late_connection.stop)


@given("its routes allow {count:d} target")
def step_attempts(context, count):
    fleet = context.entry_fleet
    view = fleet.kernels_by_vm["vm1"].find("view")

    async def run():
        for item in fleet.configuration["virtual_hosts"][0]["paths"]:
            item["attempts"] = count
        fleet.publish()
        with fail_after(5.0):
            while f"r{view.version}" != fleet.configuration["version"]:
                await sleep(0.02)

    context.portal.call(run)


@given("a route that splits {first:d} to {second:d} between the services of the two")
def step_split(context, first, second):
    fleet = context.entry_fleet
    view = fleet.kernels_by_vm["vm1"].find("view")

    async def run():
        fleet.list_target("t1", service="full-part")
        fleet.list_target("t2", service="free-part")
        parts = [("full-part", first), ("free-part", second)]
        split = [{"service": name, "weight": weight} for name, weight in parts]
        item = route("split", "/split/", "idempotent", traffic_split=split)
        del item["service"]
        fleet.configuration["virtual_hosts"][0]["paths"].append(item)
        fleet.publish()
        with fail_after(5.0):
            while f"r{view.version}" != fleet.configuration["version"] or (
                view.targets_by_id["t1"].service != "full-part"
            ):
                await sleep(0.02)

    context.portal.call(run)


@then("{least:g} to {most:g} of the requests were refused and the others received 200")
def step_refused_share(context, least, most):
    statuses = [response.status_code for response in context.responses]
    assert set(statuses) == {200, 503}, set(statuses)
    assert least <= statuses.count(503) / len(statuses) <= most, statuses.count(503)


@given("its targets take {seconds:g} s for a request")
def step_work(context, seconds):
    for target in context.entry_fleet.entry_targets_by_id.values():
        target.work_s = seconds


@when("a caller sends {count:d} times {method} {path}")
def step_send_many(context, count, method, path):
    async def run():
        return [
            await context.entry_fleet.send_request(path, method=method, wait_ms=3000)
            for _ in range(count)
        ]

    context.responses = context.portal.call(run)


@when(
    "a caller sends GET {path:S} at least {count:d} times and until {target:w} has run "
    "one"
)
def step_send_until(context, path, count, target):
    fleet = context.entry_fleet
    runs = fleet.entry_targets_by_id[target].runs
    context.responses = []

    async def run():
        # Targets are drawn at random, so that some series miss one of two targets.
        while len(context.responses) < count or not runs:
            assert len(context.responses) < MAX_REQUESTS, "the target got no request"
            response = await fleet.send_request(path, wait_ms=3000)
            context.responses.append(response)

    context.portal.call(run)


@when("a caller sends {method:w} {path:S}")
def step_send(context, method, path):
    send(context, method, path, {})


@when('a caller sends GET {path:S} with the key "{key}"')
def step_send_key(context, path, key):
    send(context, "GET", path, {"key": key})


@when("a caller that waits {seconds:d} s sends {method:w} {path:S}")
def step_send_long(context, seconds, method, path):
    send(context, method, path, {"wait_ms": seconds * 1000})


def send(context, method, path, options):
    """Send a request and record its duration, and its response or error."""

    async def run():
        started = current_time()
        try:
            return [
                await context.entry_fleet.send_request(path, method=method, **options)
            ], None
        except HTTPError as error:
            return [], error
        finally:
            context.took_s = current_time() - started

    context.responses, context.error = context.portal.call(run)


@when(
    "a caller sends {method:w} {path:S} and leaves {seconds:g} s after a target "
    "received it"
)
def step_leave(context, method, path, seconds):
    targets = context.entry_fleet.entry_targets_by_id.values()

    async def run():
        async with create_task_group() as tasks:
            tasks.start_soon(
                partial(context.entry_fleet.send_request, path, method=method)
            )
            with fail_after(ARRIVAL_TIMEOUT_S):
                while not any(target.heads for target in targets):
                    await sleep(0.01)
            await sleep(seconds)
            tasks.cancel_scope.cancel()

    context.portal.call(run)


@then("the caller gets {status:d}")
@then("the caller gets {status:d} each time")
def step_status(context, status):
    found = [response.status_code for response in context.responses]
    assert found and all(item == status for item in found), found


@then("the caller gets {status:d} and the whole body")
@then("the caller gets {status:d} and the whole body each time")
def step_whole(context, status):
    step_status(context, status)
    bodies = {item.body for item in context.entry_fleet.entry_targets_by_id.values()}
    for response in context.responses:
        assert response.content in bodies, len(response.content)
        assert response.headers["response-signature"].startswith("s-attempt-")


@then("the caller gets {status:d} with a time to retry")
def step_retry_after(context, status):
    step_status(context, status)
    assert float(context.responses[0].headers["retry-after"]) > 0


@then("the caller gets {status:d} after {least:g} to {most:g} s")
def step_after(context, status, least, most):
    step_status(context, status)
    assert least <= context.took_s <= most, context.took_s


@then('the target received the caller\'s attempt id, the workspace "{name}" and no key')
def step_head(context, name):
    (target,) = context.entry_fleet.entry_targets_by_id.values()
    method, path, headers = target.heads[0]
    assert (method, path) == ("GET", "/lookup/7?x=1"), (method, path)
    assert headers["attempt-id"].startswith("attempt-")
    assert headers["tenant"] == name and headers["host"] == "shop.example"
    assert headers["expect-instance"] == target.id
    assert 0 < int(headers["deadline-ms"]) <= 1500
    assert "key-of-shop" not in str(headers), headers


def runs_of(context):
    """Return the attempt ids that targets ran."""
    targets = context.entry_fleet.entry_targets_by_id.values()
    return [attempt for target in targets for attempt in target.runs]


@then("each request ran exactly once")
def step_once(context):
    runs = runs_of(context)
    assert len(runs) == len(set(runs)) == len(context.responses), runs


@then("each request ran at most {limit:d} times")
def step_at_most(context, limit):
    runs = runs_of(context)
    assert max(runs.count(item) for item in runs) <= limit, runs


@then("no request ran")
def step_none(context):
    assert not runs_of(context), runs_of(context)


@then("the caller gets an incomplete response")
def step_broken(context):
    assert context.error is not None, context.responses


@then("the target sees its connection close within {seconds:g} s")
def step_work_ends(context, seconds):
    (target,) = context.entry_fleet.entry_targets_by_id.values()

    async def run():
        with fail_after(seconds):
            while not target.cut_runs:
                await sleep(0.01)

    context.portal.call(run)


@then("the target finishes the request")
def step_work_finishes(context):
    (target,) = context.entry_fleet.entry_targets_by_id.values()
    context.portal.call(sleep, 2 * target.work_s)
    assert target.runs and not target.cut_runs, (target.runs, target.cut_runs)


@when("the VM is stopped while callers send GET {path:S}")
def step_stop(context, path):
    fleet = context.entry_fleet
    context.cut, context.statuses = [], []
    # Whether a response closed its connection, by the request's number.
    context.closes_by_number = {}
    readiness = fleet.kernels_by_vm["vm1"].find("entry-readiness")

    async def call(number):
        try:
            response = await fleet.send_request(path)
            context.statuses.append(response.status_code)
            closes = response.headers.get("connection") == "close"
            context.closes_by_number[number] = closes
        except HTTPError as error:
            # If the connection was refused, the VM has read no request; any other error
            # means that a request was cut off.
            if "connect" not in type(error).__name__.lower():
                context.cut.append(repr(error))

    async def run():
        async with create_task_group() as tasks:
            for number in range(40):
                tasks.start_soon(call, number)
                await sleep(0.05)
                if number == LAST_BEFORE_STOP:
                    tasks.start_soon(fleet.stop, "vm1")
                if number == FIRST_IN_STOP:
                    context.reason = readiness.reason()

    context.portal.call(run)


@then("no request was cut off")
def step_not_cut(context):
    assert not context.cut, context.cut
    assert len(context.statuses) >= 20, context.statuses
    assert set(context.statuses) == {200}, context.statuses


@then("the VM was not ready as soon as its stop began")
def step_not_ready(context):
    assert context.reason == "stopping", context.reason


@then("responses during the stop close their connections")
def step_closes(context):
    found = {
        number: closes
        for number, closes in context.closes_by_number.items()
        if number >= FIRST_IN_STOP
    }
    assert len(found) >= 10 and all(found.values()), found
