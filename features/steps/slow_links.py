"""Steps for large values in the store and VMs with slow links."""

from anyio import current_time, fail_after, sleep
from behave import given, then, when
from httpx import AsyncClient

from features.entry_fleet import LOOPBACK
from features.slow_link import run_slow_link
from features.steps.entry_view import start_fleet
from primroseturn.failures import StoreUnavailable
from primroseturn.platform.objects import ObjectClient
from primroseturn.serving.asgi import serve_application

PART_S = 0.05
# Pause of a link on which a packet is lost twice.
LINK_PAUSE_S = 0.6


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
            await sleep(began_at + (number + 1) * PART_S - current_time())
            part = body[offset : offset + part_bytes]
            more = offset + part_bytes < size
            await send({"type": "http.response.body", "body": part, "more_body": more})

    context.paced_store = respond


@then("a call with a timeout of {timeout:g} s gets {result} within {seconds:g} s")
def step_paced_call(context, timeout, result, seconds):
    async def run():
        async with (
            serve_application(context.paced_store, LOOPBACK, 0) as port,
            AsyncClient(base_url=f"http://{LOOPBACK}:{port}") as http,
        ):
            began_at = current_time()
            try:
                found = await ObjectClient(http, timeout).read("config", "main")
            except StoreUnavailable:
                found = None
            return found, current_time() - began_at

    found, took_s = context.portal.call(run)
    assert (found is not None) == (result == "the body"), took_s
    assert took_s <= seconds, took_s


@given("{count:d} odd entries of {size:d} bytes among those of {targets:d} targets")
def step_odd_entries(context, count, size, targets):
    fleet = start_fleet(context)

    async def run():
        for number in range(1, targets + 1):
            await fleet.add_entry_target(f"t{number}")
        for number in range(count):
            odd = {"service": "core", "note": "x" * size}
            fleet.store.write(f"servers/odd{number}", odd)

    context.portal.call(run)


@when("{count:d} VMs start behind links of {rate:g} Mbit/s")
def step_start_behind_links(context, count, rate):
    fleet = context.entry_fleet
    context.links_by_vm = {}

    async def run():
        for number in range(1, count + 1):
            vm = f"vm{number}"
            link = await fleet.start(
                f"link of {vm}", run_slow_link(fleet.store_port, rate)
            )
            fleet.store_ports_by_vm[vm] = link.port
            context.links_by_vm[vm] = link
            await fleet.add_entry(vm)
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
