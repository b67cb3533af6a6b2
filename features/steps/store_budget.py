"""Steps for the daemons' shares of the calls that the store allows."""

from contextlib import asynccontextmanager

from anyio import create_task_group, current_time, sleep
from behave import given, then, when
from httpx import ASGITransport, AsyncClient

from primroseturn.failures import StoreUnavailable
from primroseturn.settings.models import StoreSettings
from primroseturn.standins.store import ObjectStore, StoreFaults
from primroseturn.store.client import create_client


@asynccontextmanager
async def open_client(store: ObjectStore, fleet_reads_per_s: float, timeout_s: float):
    """Yield a client of a store in the same process."""
    settings = StoreSettings(
        "http://store", call_limit_s=timeout_s, fleet_reads_per_s=fleet_reads_per_s
    )
    transport = ASGITransport(store)
    async with AsyncClient(base_url="http://store", transport=transport) as http:
        yield create_client(http, settings)


@given("a store that allows {cap:g} calls per second")
def step_store(context, cap):
    context.store, context.cap = ObjectStore(), cap
    context.store.set_faults(StoreFaults(calls_per_s=cap))


@given("a store that never responds")
def step_unresponsive_store(context):
    context.store = ObjectStore()
    context.store.set_faults(StoreFaults(hang=True))


@when("{count:d} daemons each demand {rate:g} reads per second for {seconds:g} s")
def step_all_busy(context, count, rate, seconds):
    run_daemons(context, count, count, rate, seconds)


@when("1 of {count:d} daemons demands {rate:g} reads per second for {seconds:g} s")
def step_one_busy(context, count, rate, seconds):
    run_daemons(context, 1, count, rate, seconds)


def run_daemons(context, busy, count, rate, seconds):
    """Let `busy` of `count` daemons read for a time, and count successful reads."""
    context.successes, context.seconds = 0, seconds

    async def read(client):
        try:
            await client.read("config/none")
            context.successes += 1
        except StoreUnavailable:
            pass

    async def make_reads():
        async with (
            open_client(context.store, context.cap, 0.5) as client,
            create_task_group() as tasks,
        ):
            client.set_fleet_size(count)
            end = current_time() + seconds
            while current_time() < end:
                tasks.start_soon(read, client)
                await sleep(1 / rate)
            tasks.cancel_scope.cancel()

    async def run():
        async with create_task_group() as tasks:
            for _ in range(busy):
                tasks.start_soon(make_reads)

    context.portal.call(run)


@then("at least {share:g}% of the allowed calls succeed")
def step_succeeded(context, share):
    allowed = context.cap * context.seconds
    assert context.successes >= allowed * share / 100, (context.successes, allowed)


@then("at most {share:g}% of the calls are refused by the store")
def step_refused(context, share):
    counts = context.store.calls_by_kind
    refused = counts.get("refused", 0)
    assert refused <= counts["read"] * share / 100, counts


@then("a read fails within {limit:g} s")
def step_timeout(context, limit):
    async def read():
        started_at = current_time()
        async with open_client(context.store, 1000, limit / 2) as client:
            try:
                await client.read("config/none")
            except StoreUnavailable:
                return current_time() - started_at
        raise AssertionError("the read succeeded")

    assert context.portal.call(read) < limit
