"""Steps for requests during faults of targets, connections and callers."""

from contextlib import asynccontextmanager
from hashlib import sha256
from json import JSONDecoder, loads
from pathlib import Path
from time import monotonic

from anyio import connect_tcp, create_task_group, EndOfStream, fail_after, sleep
from behave import given, then, when
from httpx import AsyncClient, HTTPError, RemoteProtocolError
from msgspec.structs import replace

from features.fleet import run_fleet
from primroseturn.standins.documents import document_part
from primroseturn.standins.relay import Relay, run_relay
from primroseturn.standins.upstream import UpstreamFaults

TCP_CLOSE_WAIT = "08"
ARRIVAL_TIMEOUT_S = 10.0
ROUTE_OPTIONS_BY_NAME = {
    "find": {"deadline_s": 5.0},
    "quick": {"hedge": True},
    "brief": {"deadline_s": 0.3},
    "open": {"open": True},
    "small": {"open": True, "methods": ["patch", "GET"]},
    "doc": {"download": True, "deadline_s": 1.0},
    "docs-page": {},
    "upload": {"methods": ["POST"], "deadline_s": 20.0},
    "order": {"methods": ["POST"], "repeatable": False},
}
UPSTREAM_SETTINGS = {
    "old_connection_s": 0.3,
    "old_first_byte_limit_s": 0.2,
    "progress_limit_s": 0.8,
    "idle_limit_s": 1.0,
    # Probes of the load endpoint would use a connection of their own.
    "load_path": None,
}


@asynccontextmanager
async def run_relayed_fleet(targets, daemons, callers):
    """Run a fleet that reaches its targets through relays."""
    async with run_fleet() as fleet:
        fleet.relays = {}
        service = {
            "name": "search",
            "slots_per_target": 50,
            "connections_per_target": 8,
        }
        fleet.configure("service", "search", service)
        for name, options in ROUTE_OPTIONS_BY_NAME.items():
            body = {"name": name, "path_prefix": f"/{name}", "service": "search"}
            fleet.configure("route", name, {**body, **options})
        for preset, ratio in (("test", 1.0), ("no-retries", 0.0)):
            body = {"name": preset, "retry_ratio": ratio}
            fleet.configure("preset", preset, body)
        fleet.configure("preset-in-force", "in-force", {"preset": "test"})
        fleet.add_workspace("shop")
        for number in range(1, targets + 1):
            name = f"target{number}"
            upstream = await fleet.add_upstream(name, "search", slots=50)
            url = fleet.targets[-1].url
            relay = Relay(int(url.rpartition(":")[2]))
            port = await fleet.start(f"relay of {name}", run_relay(relay))
            fleet.relays[name] = relay
            url = f"http://127.0.0.1:{port}"
            fleet.targets[-1] = replace(fleet.targets[-1], url=url)
            upstream.set_faults(UpstreamFaults())
        fleet.list_targets("search")
        for number in range(daemons):
            await fleet.add_daemon(
                f"vm{number + 1}", upstreams=UPSTREAM_SETTINGS, callers=callers
            )
        await fleet.wait_ready()
        await fleet.wait_admitted("shop")
        yield fleet


def start_relayed_fleet(context, targets, daemons=1, drain_delay_s=0.0):
    callers = {"drain_delay_s": drain_delay_s, "drain_limit_s": 3.0}
    manager = context.portal.wrap_async_context_manager(
        run_relayed_fleet(targets, daemons, callers)
    )
    context.fleet = manager.__enter__()
    context.cleanups.append(lambda: manager.__exit__(None, None, None))
    context.key = context.fleet.secrets_by_workspace["shop"]
    context.responses = []


@given("{targets:d} targets behind relays and {daemons:d} daemon")
@given("{targets:d} targets behind relays and {daemons:d} daemons")
def step_relayed_fleet(context, targets, daemons):
    start_relayed_fleet(context, targets, daemons)


@given("{targets:d} targets and a daemon whose drain delay is {delay_s:g} s")
def step_drain_fleet(context, targets, delay_s):
    start_relayed_fleet(context, targets, 1, delay_s)


@given("each target has the faults {faults}")
def step_faults_of_all(context, faults):
    for name in context.fleet.upstreams_by_name:
        step_faults(context, name, faults)


@given('target "{name}" has the faults {faults}')
@when('target "{name}" has the faults {faults}')
def step_faults(context, name, faults):
    upstream = context.fleet.upstreams_by_name[name]
    context.portal.call(upstream.set_faults, UpstreamFaults(**loads(faults)))


@given('the preset "{preset}" is in force')
def step_preset(context, preset):
    fleet = context.fleet
    fleet.configure("preset-in-force", "in-force", {"preset": preset})
    context.portal.call(fleet.wait_ready)


@given('the connections to "{name}" are closed before the response')
def step_close_before_response(context, name):
    context.fleet.relays[name].must_close_before_response = True


@given('the relay of "{name}" is stopped')
def step_stop_relay(context, name):
    context.portal.call(context.fleet.stop, f"relay of {name}")


@given("{count:d} requests have opened connections")
@given('{count:d} requests to "{path}" have opened connections')
def step_open_connections(context, count, path="/find/warm"):
    async def open_connections():
        async with create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(fetch, context, "GET", path)

    context.portal.call(open_connections)
    assert all(item.status_code == 200 for item in context.responses)
    context.responses.clear()


@given('{count:d} requests to "{path}" were answered, {width:d} at a time')
def step_warm_up(context, count, path, width):
    async def send_in_turn():
        for _ in range(count // width):
            await fetch(context, "GET", path)

    async def send_all():
        async with create_task_group() as tasks:
            for _ in range(width):
                tasks.start_soon(send_in_turn)

    context.portal.call(send_all)
    assert all(item.status_code == 200 for item in context.responses)
    context.responses.clear()


@when('target "{name}" sends an unsolicited response {seconds:g} s after its next one')
def step_unsolicited_response(context, name, seconds):
    context.fleet.relays[name].trailing_delay_s = seconds
    body = b'{"path": "/find/stray"}'
    head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n"
    context.fleet.relays[name].trailing_bytes = head.encode() + body


@when("all open connections become unresponsive")
def step_unresponsive_connections(context):
    for relay in context.fleet.relays.values():
        context.portal.call(relay.stall_connections)


async def fetch(context, method, path, vm="vm1", headers=(), **options):
    """Send a request with the key; an error is recorded in place of the response."""
    request_headers = {"x-api-key": context.key, **dict(headers)}
    started = monotonic()
    try:
        response = await context.fleet.request(
            vm, method, path, headers=request_headers, **options
        )
        response.elapsed_s = monotonic() - started
    except HTTPError as error:
        response = error
    context.responses.append(response)
    context.response = response


@when('{count:d} callers fetch "{path}"')
def step_fetch(context, count, path):
    for _ in range(count):
        context.portal.call(fetch, context, "GET", path)


@when('{count:d} callers fetch "{path}" at once')
def step_fetch_at_once(context, count, path):
    async def fetch_all():
        async with create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(fetch, context, "GET", path)

    context.portal.call(fetch_all)


@when('a caller fetches "{path}" with the header "{name}: {value}"')
def step_fetch_header(context, path, name, value):
    value = value.replace("KEY", context.key)
    context.portal.call(fetch, context, "GET", path, "vm1", {name: value})


@when(
    'a caller sends an at-most-once request with operation "{operation}" through "{vm}"'
)
def step_order(context, operation, vm):
    headers = {"idempotency-key": operation}
    context.portal.call(
        lambda: fetch(context, "POST", "/order", vm, headers, content=b"{}")
    )


@when('a caller disconnects {seconds:g} s after an upstream got its {method} "{path}"')
def step_disconnect(context, seconds, method, path):
    upstreams = context.fleet.upstreams_by_name.values()

    async def request():
        headers = {"x-api-key": context.key, "idempotency-key": "left"}
        content = b"{}" if method == "POST" else None
        port = context.fleet.kernels_by_vm["vm1"].find("callers")
        url = f"http://127.0.0.1:{port}{path}"
        async with AsyncClient(trust_env=False) as http:
            await http.request(method, url, headers=headers, content=content)

    async def leave():
        async with create_task_group() as tasks:
            tasks.start_soon(request)
            with fail_after(ARRIVAL_TIMEOUT_S):
                while not sum(item.requests for item in upstreams):
                    await sleep(0.01)
            await sleep(seconds)
            tasks.cancel_scope.cancel()

    context.portal.call(leave)


@when("a caller uploads {size:d} bytes")
def step_upload(context, size):
    async def parts():
        for offset in range(0, size, 100_000):
            yield document_part(offset, min(size, offset + 100_000))

    context.upload_hash = sha256(document_part(0, size)).hexdigest()
    context.portal.call(lambda: fetch(context, "POST", "/upload", content=parts()))


@when("the key is withdrawn while a caller sends its request")
def step_withdraw(context):
    key_id = context.fleet.key_ids_by_workspace["shop"]

    async def parts():
        yield b"start"
        await sleep(0.1)
        context.fleet.kernels_by_vm["vm1"].find("replica").withdraw(key_id)
        yield b"end"

    context.portal.call(lambda: fetch(context, "POST", "/upload", content=parts()))


@when("{count:d} callers close their connections, half of them after a request")
def step_close_connections(context, count):
    async def close_connections():
        port = context.fleet.kernels_by_vm["vm1"].find("callers")
        for number in range(count):
            async with await connect_tcp("127.0.0.1", port) as stream:
                if number % 2:
                    await stream.send(b"GET /open HTTP/1.1\r\nHost: a\r\n\r\n")
                    await stream.receive()

    context.portal.call(close_connections)


@then('"{vm}" has no connection that only its caller closed')
def step_no_close_wait(context, vm):
    port = context.fleet.kernels_by_vm[vm].find("callers")
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    fields = [line.split() for line in lines]
    local = f":{port:04X}"
    half_closed = [
        item for item in fields if item[1].endswith(local) and item[3] == TCP_CLOSE_WAIT
    ]
    assert not half_closed, len(half_closed)


@when("a caller sends the raw request {request}")
def step_raw(context, request):
    async def send():
        port = context.fleet.kernels_by_vm["vm1"].find("callers")
        async with await connect_tcp("127.0.0.1", port) as stream:
            text = request.replace("KEY", context.key).replace("LONG", "x" * 20_000)
            await stream.send(text.encode().decode("unicode_escape").encode("latin-1"))
            received = b""
            with fail_after(5):
                try:
                    while b"\r\n\r\n" not in received or not received.endswith(b"}"):
                        received += await stream.receive()
                except EndOfStream:
                    pass
        context.raw = received

    context.portal.call(send)


@then("all responses are complete documents of {size:d} bytes")
def step_complete(context, size):
    expected_hash = sha256(document_part(0, size)).hexdigest()
    for response in context.responses:
        assert not isinstance(response, Exception), repr(response)
        assert response.status_code == 200, response.text
        assert sha256(response.content).hexdigest() == expected_hash


@then("the response is bytes {first:d} to {last:d} of the document")
def step_range(context, first, last):
    assert context.response.status_code == 206
    assert context.response.content == document_part(first, last + 1)


@then("every caller detects that its response is incomplete")
def step_incomplete(context):
    assert context.responses
    for response in context.responses:
        assert isinstance(response, RemoteProtocolError), repr(response)


@then('all responses name the path "{path}" and arrive within {limit_s:g} s')
def step_path_of_all(context, path, limit_s):
    for response in context.responses:
        assert not isinstance(response, Exception), repr(response)
        assert response.status_code == 200, (response.status_code, response.text)
        assert response.json()["path"] == path, response.text
        assert response.elapsed_s < limit_s, response.elapsed_s


@then('the last response names the path "{path}"')
def step_last_path(context, path):
    assert context.response.json()["path"] == path, context.response.text


@then('all responses are the refusal "{kind}" with status {status:d} and ran "{ran}"')
def step_all_refused(context, kind, status, ran):
    for response in context.responses:
        assert not isinstance(response, Exception), repr(response)
        body = response.json()
        found = (response.status_code, body["type"], body["ran"])
        assert found == (status, kind, ran), found


@then('each raw request is refused with its status and type and ran "no"')
def step_raw_refused(context):
    for row in context.table:
        step_raw(context, row["request"])
        head, _, body = context.raw.partition(b"\r\n\r\n")
        assert head.split()[1] == row["status"].encode(), (row, context.raw)
        # The raw request may contain a second one, whose response follows.
        refusal, _ = JSONDecoder().raw_decode(body.decode())
        assert (refusal["type"], refusal["ran"]) == (row["type"], "no"), (row, body)


@then("the raw response has status {status:d}")
def step_raw_status(context, status):
    assert context.raw.split()[1] == str(status).encode(), context.raw


@then(
    "the raw response has status {status:d}, and the upstream got the method {method}"
)
def step_raw_method(context, status, method):
    step_raw_status(context, status)
    (upstream,) = context.fleet.upstreams_by_name.values()
    assert list(upstream.received_methods) == [method], upstream.received_methods


@then('target "{name}" cancelled {count:d} request within {limit_s:g} s')
def step_cancelled(context, name, count, limit_s):
    upstream = context.fleet.upstreams_by_name[name]

    async def wait():
        with fail_after(limit_s):
            while upstream.cancelled < count:
                await sleep(0.01)

    context.portal.call(wait)
    assert upstream.cancelled == count


@then('"{name}" has {count:d} open connections')
def step_open(context, name, count):
    found = len(context.fleet.relays[name].open_connections)
    assert found == count, found


@then('"{name}" never had more than {count:d} open connections')
def step_most_open(context, name, count):
    assert 0 < context.fleet.relays[name].peak_connections <= count


@then("the upload arrived whole")
def step_upload_whole(context):
    assert context.response.status_code == 200, context.response.text
    assert context.response.json()["body_sha256"] == context.upload_hash


@then("an upstream saw a deadline of at most {limit_ms:d} ms")
def step_deadline_seen(context, limit_ms):
    upstreams = context.fleet.upstreams_by_name.values()
    seen = [dict(headers) for item in upstreams for headers in item.received_headers]
    values = [int(item[b"x-request-deadline-ms"]) for item in seen]
    assert values and all(0 < value <= limit_ms for value in values), values


@then("the upstreams received {count:d} requests")
def step_requests(context, count):
    upstreams = context.fleet.upstreams_by_name.values()
    assert sum(item.requests for item in upstreams) == count


@then('target "{name}" cancelled an attempt')
def step_attempt_cancelled(context, name):
    async def wait():
        with fail_after(1):
            while not context.fleet.upstreams_by_name[name].cancelled:
                await sleep(0.01)

    context.portal.call(wait)


@then('no upstream saw the header "{first}" or "{second}"')
def step_no_header(context, first, second):
    upstreams = context.fleet.upstreams_by_name.values()
    seen = [dict(headers) for item in upstreams for headers in item.received_headers]
    names = {first.encode(), second.encode()}
    assert seen and not any(names & item.keys() for item in seen), seen


@then('an upstream saw the header "{name}"')
def step_header_seen(context, name):
    upstreams = context.fleet.upstreams_by_name.values()
    seen = [dict(headers) for item in upstreams for headers in item.received_headers]
    assert any(name.encode() in item for item in seen)


@then(
    "the response is one unmixed version of the document of {size:d} bytes, "
    "the other version shifted by {shift:d}"
)
def step_one_version(context, size, shift):
    versions = (document_part(0, size), document_part(shift, size + shift))
    response = context.response
    assert not isinstance(response, Exception), response
    assert response.content in versions, (
        response.status_code,
        len(response.content),
        response.content[:200],
    )


@given("the observations of the daemon are recorded")
def step_record_observations(context):
    dispatcher = context.fleet.kernels_by_vm["vm1"].find("dispatcher")
    context.observed = []
    dispatcher.observe = lambda item: context.observed.append(item.outcome.value)


@given("the dispatcher of the daemon is broken")
def step_break_dispatcher(context):
    def acquire(slot_request):
        raise RuntimeError("broken by the test")

    context.fleet.kernels_by_vm["vm1"].find("dispatcher").acquire = acquire


@then("the daemon observed nothing")
def step_observed_nothing(context):
    assert not context.observed, context.observed


@then('the daemon observed "{outcome}"')
def step_observed(context, outcome):
    assert context.observed == [outcome], context.observed


@given("the events of the daemon are recorded")
def step_record_events(context):
    context.events = []
    events = context.fleet.kernels_by_vm["vm1"].find("events")
    events.listeners.append(lambda event, fields: context.events.append(event.name))


@then('the daemon emitted "{name}"')
def step_emitted(context, name):
    assert name in context.events, set(context.events)
