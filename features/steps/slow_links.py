"""Steps for large values in the store and VMs with slow links."""

import re
from collections.abc import Callable
from typing import Any

from anyio import current_time, Event, fail_after, move_on_after, sleep
from behave import given, then, when
from httpx import AsyncClient
from hypothesis import given as for_all, strategies

from features.entry_fleet import LOOPBACK
from features.slow_link import BYTES_PER_MBIT, run_slow_link
from features.steps.entry_view import start_fleet
from features.steps.late_versions import inject_end, lose_next_reading, replace
from features.steps.relayed_documents import set_size, wait_version
from primroseturn.entry.registry import VMS_KIND
from primroseturn.entry.watch_position import WatchPosition
from primroseturn.failures import StoreUnavailable
from primroseturn.platform.objects import ObjectClient, path_of
from primroseturn.platform.pages import StoredValue, StoreRevision
from primroseturn.platform.wire import CONFIGURATION_KIND, TARGETS_KIND
from primroseturn.serving.asgi import serve_application

PART_S = 0.05
# Pause of a link on which a packet is lost twice.
LINK_PAUSE_S = 0.6
READY_TIMEOUT_S = 15.0
SETTLE_TIMEOUT_S, SETTLE_S = 10.0, 0.5
# Longest time in seconds in which a value of 1 MB arrives at 5 Mbit/s.
READING_S = 2.0
# Seconds after which the store has taken the snapshot that a reading gets.
SNAPSHOT_S = 0.05
# Seconds for which watches miss changes before the store drops its history.
SILENCE_S = 1.0
REQUEST_INTERVAL_S = 0.2
CONFIGURATION_PATH = path_of(CONFIGURATION_KIND)


@given("a store that sends a body of {size:d} bytes {framing} at {rate:d} kB/s")
def step_paced_body(context, size, framing, rate):
    start, end = b'{"metadata":{"name":"main","revision":3},"spec":"', b'"}'
    body = start + b"x" * (size - len(start) - len(end)) + end
    part_bytes = int(rate * 1000 * PART_S)
    pause_at = size // 2 // part_bytes if framing.endswith("a pause") else None

    async def respond(scope, receive, send):
        headers = []
        if framing.startswith("with its length"):
            headers.append((b"content-length", str(size).encode()))
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        began_at = current_time()
        for number, offset in enumerate(range(0, size, part_bytes)):
            if number == pause_at:
                await sleep(LINK_PAUSE_S)
                began_at += LINK_PAUSE_S
            due_at = began_at + (number + 1) * PART_S
            await sleep(max(0.0, due_at - current_time()))
            part = body[offset : offset + part_bytes]
            more = offset + part_bytes < size
            await send({"type": "http.response.body", "body": part, "more_body": more})

    context.paced_store = respond


async def read_from(store, timeout_s):
    """Read the configuration from a store, and return it or the failure."""
    async with (
        serve_application(store, LOOPBACK, 0) as port,
        AsyncClient(base_url=f"http://{LOOPBACK}:{port}") as http,
    ):
        try:
            return await ObjectClient(http, timeout_s).read("config", "main")
        except StoreUnavailable as failure:
            return failure


@then("a call with a timeout of {timeout:g} s gets {result} within {seconds:g} s")
def step_paced_call(context, timeout, result, seconds):
    async def run():
        began_at = current_time()
        found = await read_from(context.paced_store, timeout)
        return found, current_time() - began_at

    found, took_s = context.portal.call(run)
    assert isinstance(found, StoredValue) == (result == "the body"), (found, took_s)
    assert took_s <= seconds, took_s


@then("the failure of a call names the bytes that had arrived")
def step_failure(context):
    failure = context.portal.call(read_from, context.paced_store, 0.8)
    assert re.search(r"after [1-9]\d* bytes of the body", str(failure)), failure


KINDS_BY_NAME = {"target entries": TARGETS_KIND, "objects of VMs": VMS_KIND}


@given(
    "{targets:d} targets and {count:d} odd {kind} of {size:d} bytes of another writer"
)
def step_odd_objects(context, targets, count, kind, size):
    fleet = start_fleet(context)

    async def run():
        for number in range(1, targets + 1):
            await fleet.add_entry_target(f"t{number}")
        for number in range(count):
            odd = {"service": "core", "note": "x" * size}
            fleet.store.write(f"{KINDS_BY_NAME[kind]}/odd{number}", odd)

    context.portal.call(run)


async def start_behind_link(context, vm, rate):
    """Start a VM whose link to the store has a rate in Mbit/s."""
    fleet = context.entry_fleet
    link = await fleet.start(f"link of {vm}", run_slow_link(fleet.store_port, rate))
    fleet.store_ports_by_vm[vm] = link.port
    context.links_by_vm[vm] = link
    return await fleet.add_entry(vm, version_limit_s=3.0, leaving_limit_s=3.0)


@when("{count:d} VMs start behind links of {rate:g} Mbit/s")
def step_start_behind_links(context, count, rate):
    context.links_by_vm = {}

    async def run():
        for number in range(1, count + 1):
            await start_behind_link(context, f"vm{number}", rate)
        context.started_at = current_time()

    context.portal.call(run)


@then("all VMs are ready within {seconds:g} s of their start")
def step_ready(context, seconds):
    readiness_by_vm = {
        vm: kernel.find("entry-readiness")
        for vm, kernel in context.entry_fleet.kernels_by_vm.items()
    }

    async def run():
        try:
            with fail_after(context.started_at + seconds - current_time()):
                while any(item.reason() for item in readiness_by_vm.values()):
                    await sleep(0.02)
        except TimeoutError:
            pass
        return {vm: item.reason() for vm, item in readiness_by_vm.items()}

    reasons_by_vm = context.portal.call(run)
    assert not any(reasons_by_vm.values()), reasons_by_vm


@then("all VMs know {count:d} targets")
def step_know_targets(context, count):
    kernels_by_vm = context.entry_fleet.kernels_by_vm
    counts_by_vm = {
        vm: len(kernel.find("view").targets_by_id)
        for vm, kernel in kernels_by_vm.items()
    }
    assert set(counts_by_vm.values()) == {count}, counts_by_vm


@given(
    "{count:d} VMs behind links of {rate:g} Mbit/s with a configuration of {size:d} "
    "bytes"
)
def step_large_configuration(context, count, rate, size):
    fleet = start_fleet(context)
    context.links_by_vm = {}

    async def run():
        await fleet.add_entry_target("t1")
        set_size(fleet.configuration, size)
        fleet.publish()
        for number in range(1, count + 1):
            await start_behind_link(context, f"vm{number}", rate)
        await fleet.wait_entries(READY_TIMEOUT_S)
        await wait_version(fleet, READY_TIMEOUT_S)
        # A reading that has begun meanwhile fills the link until it ends.
        await sleep(READING_S)

    context.portal.call(run)


@given("{count:d} VMs behind links of {rate:g} Mbit/s")
def step_links(context, count, rate):
    step_large_configuration(context, count, rate, 0)


@given("a configuration of {size:d} bytes that came from the first VM")
def step_relayed_configuration(context, size):
    fleet = context.entry_fleet

    async def run():
        for link in context.links_by_vm.values():
            link.carried_bytes = 0
        set_size(fleet.configuration, size)
        fleet.publish()
        await wait_version(fleet, SETTLE_TIMEOUT_S)
        await sleep(READING_S)

    context.portal.call(run)


async def wait_reading(context) -> None:
    """Wait until a VM begins a call for the configuration."""
    begun = Event()
    changes = []
    for kernel in context.entry_fleet.kernels_by_vm.values():
        call = kernel.find("objects").call

        async def notice(method, path, *arguments, call=call, **options):
            if path.startswith(CONFIGURATION_PATH):
                begun.set()
            return await call(method, path, *arguments, **options)

        changes.append(replace(context, kernel.find("objects"), "call", notice))
    with fail_after(SETTLE_TIMEOUT_S):
        await begun.wait()
    for change in changes:
        change.stop()
    await sleep(SNAPSHOT_S)


Disturb = Callable[[Any], None]
disturb_by_condition: dict[str, Disturb] = {}


def condition(name: str) -> Callable[[Disturb], Disturb]:
    """Register a function that disturbs the reading of a version."""

    def register(function: Disturb) -> Disturb:
        disturb_by_condition[name] = function
        return function

    return register


@condition("alone")
def disturb_nothing(context):
    """Leave the reading alone."""


@condition("and the next response is lost")
def lose_response(context):
    """Let each VM's next call for the configuration get no response."""
    for kernel in context.entry_fleet.kernels_by_vm.values():
        lose_next_reading(context, kernel)


@condition("while watches miss it and the history is lost")
def lose_history(context):
    """Let watches miss changes for a time, then drop the history and cut them."""
    store = context.entry_fleet.store
    store.faults.silent_watches = True

    async def end():
        await sleep(SILENCE_S)
        store.faults.silent_watches = False
        store.drop_history()
        store.cut_watches()

    context.entry_fleet.tasks.start_soon(end)


@then("the other VMs have read at most {limit:d} bytes meanwhile")
def step_not_read(context, limit):
    bytes_by_vm = {
        vm: link.carried_bytes
        for vm, link in context.links_by_vm.items()
        if vm != "vm1"
    }
    assert max(bytes_by_vm.values()) <= limit, bytes_by_vm


@when("the first VM ends, as far as others can see")
def step_end_first(context):
    async def run():
        fleet = context.entry_fleet
        inject_end(context, fleet.kernels_by_vm.pop("vm1"))
        del context.links_by_vm["vm1"]
        # Requests of the others to it have to fail first.
        await sleep(SETTLE_S)

    context.portal.call(run)


@when("a version is written just after a VM has begun to read, {name}")
def step_write_after_begin(context, name):
    async def run():
        await wait_reading(context)
        disturb_by_condition[name](context)
        context.entry_fleet.publish()

    context.portal.call(run)


@then("the version is in force at all VMs within {seconds:g} s")
@then("the version is in force at the other VMs within {seconds:g} s")
def step_version_in_force(context, seconds):
    async def run():
        with move_on_after(seconds):
            await wait_version(context.entry_fleet, seconds)
        return {
            vm: kernel.find("view").version
            for vm, kernel in context.entry_fleet.kernels_by_vm.items()
        }

    versions_by_vm = context.portal.call(run)
    newest = int(context.entry_fleet.configuration["version"][1:])
    assert set(versions_by_vm.values()) == {newest}, (newest, versions_by_vm)


@then("the links carry at most a tenth of their rate in {seconds:g} s")
@then("the links of the others carry at most a tenth of their rate in {seconds:g} s")
def step_calm_links(context, seconds):
    fleet = context.entry_fleet
    context.statuses_by_vm = {vm: set() for vm in fleet.kernels_by_vm}

    async def run():
        for link in context.links_by_vm.values():
            link.carried_bytes = 0
        ends_at = current_time() + seconds
        while current_time() < ends_at:
            for vm, statuses in context.statuses_by_vm.items():
                statuses.add((await fleet.send_request("/lookup/1", vm)).status_code)
            await sleep(REQUEST_INTERVAL_S)

    context.portal.call(run)
    shares_by_vm = {
        vm: link.carried_bytes / link.bytes_per_s / seconds
        for vm, link in context.links_by_vm.items()
    }
    assert max(shares_by_vm.values()) <= 0.1, shares_by_vm


@then("callers with a key were served by all VMs meanwhile")
@then("callers with a key were served by the other VMs meanwhile")
def step_served(context):
    assert all(found == {200} for found in context.statuses_by_vm.values()), (
        context.statuses_by_vm
    )


@when("the store drops its history and a third VM starts behind such a link")
def step_third_vm(context):
    async def run():
        context.entry_fleet.store.drop_history()
        link = next(iter(context.links_by_vm.values()))
        await start_behind_link(context, "vm3", link.bytes_per_s / BYTES_PER_MBIT)
        context.started_at = current_time()

    context.portal.call(run)


@then(
    "after any responses a watch starts between {least:g} s and {most:g} s before the "
    "last one"
)
def step_position(context, least, most):
    pauses = strategies.lists(strategies.floats(0.01, 1.0), min_size=1, max_size=80)

    @for_all(pauses)
    def check(pauses_s):
        position, now = WatchPosition(), 0.0
        position.restart(StoreRevision(0, 0), now)
        for pause_s in pauses_s:
            now += pause_s
            # The store's revision is its age in milliseconds.
            position.advance(StoreRevision(0, int(1000 * now)), now)
            starts_at = position.revision.number / 1000
            assert starts_at <= max(0.0, now - least), (starts_at, now)
            assert starts_at >= now - most, (starts_at, now)

    check()
