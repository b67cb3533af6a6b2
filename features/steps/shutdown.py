"""Steps for planned stops."""

from time import monotonic

from anyio import create_task_group, fail_after, sleep
from behave import then, when
from httpx import ConnectError

from features.steps.request_faults import fetch
from primroseturn.serving.asgi import serve_application
from primroseturn.standins.documents import document_part
from primroseturn.standins.store import ObjectStore


async def stop_daemon(context):
    """Start the stop of the daemon and record when it ends."""
    fleet = context.fleet
    context.stop_started_at = monotonic()
    context.stopped_at = None

    async def stop():
        await fleet.stop("vm1")
        context.stopped_at = monotonic()

    fleet.tasks.start_soon(stop)


@when("the daemon stops")
def step_stop(context):
    context.portal.call(stop_daemon, context)


@when('the daemon stops while callers fetch "{first}" and "{second}"')
def step_stop_busy(context, first, second):
    async def run():
        async with create_task_group() as tasks:
            tasks.start_soon(fetch, context, "GET", first)
            await sleep(0.01)
            tasks.start_soon(fetch, context, "GET", second)
            await sleep(0.1)
            await stop_daemon(context)

    context.portal.call(run)


@when("a daemon without a configuration starts")
def step_start_empty(context):
    async def start():
        fleet = context.fleet
        fleet.store_port = await fleet.start("store2", serve_application(ObjectStore()))
        await fleet.add_daemon("vm1")

    context.portal.call(context.fleet.stop, "vm1")
    context.portal.call(start)


@then("every caller received a complete response")
def step_complete(context):
    assert len(context.responses) == 2
    for response in context.responses:
        assert not isinstance(response, Exception), repr(response)
        assert response.status_code == 200, response.text
    documents = [item.content for item in context.responses if len(item.content) > 1000]
    assert documents == [document_part(0, 300_000)]


@then("exactly one caller received a broken response")
def step_broken(context):
    broken = [item for item in context.responses if isinstance(item, Exception)]
    assert len(broken) == 1, context.responses


@then("the daemon stopped within {limit_s:g} s")
def step_stopped(context, limit_s):
    async def wait():
        with fail_after(10):
            while context.stopped_at is None:
                await sleep(0.01)

    context.portal.call(wait)
    elapsed_s = context.stopped_at - context.stop_started_at
    assert elapsed_s < limit_s, elapsed_s


@then('the daemon is not ready because of "{reason}"')
def step_not_ready(context, reason):
    readiness = context.fleet.kernels_by_vm["vm1"].find("readiness")

    async def get_reasons():
        return readiness.reasons()

    assert reason in context.portal.call(get_reasons)


@then('its health address reports "{reason}"')
def step_health(context, reason):
    fleet = context.fleet
    url = f"http://127.0.0.1:{fleet.kernels_by_vm['vm1'].find('metrics')}/ready"
    response = context.portal.call(fleet.http.get, url)
    assert response.status_code == 503, response.text
    assert reason in response.json()["reasons"], response.text


@then('a request is answered with the header "connection: close"')
def step_connection_close(context):
    context.portal.call(fetch, context, "GET", "/find/item")
    assert context.response.status_code == 200, context.response
    assert context.response.headers["connection"] == "close"


@then('a request is refused as "{kind}" with status {status:d}')
def step_refused(context, kind, status):
    context.portal.call(fetch, context, "GET", "/find/item")
    assert context.response.status_code == status, context.response
    assert context.response.json()["type"] == kind


@then("a new connection is refused")
def step_connection_refused(context):
    context.portal.call(fetch, context, "GET", "/find/item")
    assert isinstance(context.response, ConnectError), context.response
