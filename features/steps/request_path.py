"""Steps for single requests through a small fleet."""

from behave import given, then, when

from features.fleet import Fleet, run_fleet


async def fill_fleet(fleet: Fleet, targets: int, daemons: int) -> None:
    """Configure a service, its routes and a workspace; start targets and daemons."""
    fleet.configure("service", "search", {"name": "search"})
    lookup = {"name": "find", "path_prefix": "/find", "service": "search"}
    fleet.configure("route", "find", lookup)
    order = {
        "name": "order",
        "path_prefix": "/order",
        "service": "search",
        "methods": ["POST"],
        "repeatable": False,
    }
    fleet.configure("route", "order", order)
    fleet.add_workspace("shop")
    for number in range(targets):
        await fleet.add_upstream(f"target{number + 1}", "search")
    for number in range(daemons):
        await fleet.add_daemon(f"vm{number + 1}")
    await fleet.wait_ready()


@given("a fleet with {targets:d} targets and {daemons:d} daemons")
def step_fleet(context, targets, daemons):
    manager = context.portal.wrap_async_context_manager(run_fleet())
    context.fleet = manager.__enter__()
    context.cleanups.append(lambda: manager.__exit__(None, None, None))
    context.portal.call(fill_fleet, context.fleet, targets, daemons)


@when('the workspace "{workspace}" sends {method} "{path}" through "{vm}"')
def step_request(context, workspace, method, path, vm):
    key = context.fleet.secrets_by_workspace[workspace]
    context.response = context.portal.call(context.fleet.request, vm, method, path, key)


@when('a caller without a key sends {method} "{path}" through "{vm}"')
def step_request_without_key(context, method, path, vm):
    context.response = context.portal.call(context.fleet.request, vm, method, path)


@when(
    'the workspace "{workspace}" requests "{path}" at most once with operation '
    '"{operation}" through "{vm}"'
)
def step_operation(context, workspace, path, operation, vm):
    fleet = context.fleet

    async def send():
        key = fleet.secrets_by_workspace[workspace]
        headers = {"idempotency-key": operation}
        return await fleet.request(
            vm, "POST", path, key, headers=headers, content=b"{}"
        )

    context.response = context.portal.call(send)


@then("the response has status {status:d}")
def step_status(context, status):
    assert context.response.status_code == status, context.response.text


@then('the response is the refusal "{kind}" with status {status:d} and ran "{ran}"')
def step_refusal(context, kind, status, ran):
    assert context.response.status_code == status, context.response.text
    body = context.response.json()
    assert (body["type"], body["ran"]) == (kind, ran), body


@then('no upstream saw the key of "{workspace}"')
def step_key_hidden(context, workspace):
    secret = context.fleet.secrets_by_workspace[workspace].encode()
    upstreams = context.fleet.upstreams_by_name.values()
    seen = [headers for item in upstreams for headers in item.received_headers]
    assert seen, "no upstream saw a request"
    assert not any(secret in value for headers in seen for _, value in headers)


@then("no upstream ran a request")
def step_no_run(context):
    upstreams = context.fleet.upstreams_by_name.values()
    assert sum(item.requests for item in upstreams) == 0


@then('the operation "{operation}" ran {count:d} time')
def step_executions(context, operation, count):
    upstreams = context.fleet.upstreams_by_name.values()
    run_count = sum(item.executions_by_key.get(operation, 0) for item in upstreams)
    assert run_count == count, run_count
