"""Steps for the adapter to the users' platform."""

import io
import tomllib
from contextlib import redirect_stderr
from pathlib import Path
from tempfile import TemporaryDirectory

from anyio import sleep
from behave import given, then, when
from httpx import ASGITransport, AsyncClient
from hypothesis import given as for_all, settings, strategies as st

from features.steps.product_commands import call_command
from primroseturn.cli.main import main
from primroseturn.failures import StoreUnavailable, VersionConflict
from primroseturn.platform.boot import decode_platform_settings, read_platform_settings
from primroseturn.platform.configuration import decode_configuration
from primroseturn.platform.headers import attempt_headers, read_caller_headers
from primroseturn.platform.listing import decode_target
from primroseturn.platform.objects import HistoryLost, ObjectClient
from primroseturn.platform.pages import StoreRevision
from primroseturn.routing.models import Target
from primroseturn.serving.asgi import serve_application
from primroseturn.standins.store import ObjectStore, StoreFaults

BOOT = """
[self]
node = "edge-1"
ip = "10.1.0.21"
zone = "a-1"
region = "a"
[self.limits]
memory_mb = 300
[network]
internal_ports = [7360, 7375]
seeds = ["10.1.0.21:8683"]
[network.listen]
front = "10.1.0.21:8689"
readiness = "10.1.0.21:8687"
[network.zones]
a-1 = "a"
[platform.platform]
address = "10.200.1.7:8688"
writes_per_s = 400
reads_per_s = 2000
[timing_terms.bounds]
revoke_s = 5
grace_s = 6
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 58
"""

CONFIGURATION = {
    "version": "r12",
    "services": [{"name": "core", "max_conns": 330}],
    "tenants": [
        {
            "name": "shop",
            "api_keys": ["k1"],
            "rate_per_s": 64,
            "burst": 64,
            "priority": 1,
        }
    ],
    "virtual_hosts": [
        {
            "host": "Shop.example",
            "paths": [
                {"name": "r1", "path_prefix": "/a/", "type": "rare", "service": "core"},
                {
                    "name": "r2",
                    "path_prefix": "/a/b/",
                    "type": "idempotent",
                    "traffic_split": [
                        {"service": "core", "weight": 90},
                        {"service": "docs", "weight": 10},
                    ],
                },
            ],
        }
    ],
}


def read_text(text):
    """Return the result of reading a settings file with the given text."""
    with TemporaryDirectory() as name:
        path = Path(name) / "boot.toml"
        path.write_text(text)
        return read_platform_settings(path, 9464)


@given("the platform's settings file")
def step_boot(context):
    context.boot = read_text(BOOT)


@given(
    "the platform's settings file with an unknown table and without its table of bounds"
)
def step_boot_unknown(context):
    document = tomllib.loads(BOOT)
    del document["timing_terms"]
    document["matters"] = {"not": "open"}
    context.boot = decode_platform_settings(document, 9464)


CHANGED_BOOTS = {
    "no change": BOOT,
    "no VM name": BOOT.replace('node = "edge-1"', ""),
    "ports that are not numbers": BOOT.replace("[7360, 7375]", '["a", "b"]'),
    'a callers\' address of "x"': BOOT.replace('"10.1.0.21:8689"', '"x"'),
    "text that is not TOML": "[self",
    "bounds of evacuations and cold targets": (
        BOOT + "evacuate_s = 5\ncold_overage = 1.5\ncold_slack = 8\n"
    ),
}


@given("the platform's settings file with {change}")
def step_boot_changed(context, change):
    context.boot = read_text(CHANGED_BOOTS[change])


@when('"primroseturn settings check" reads the platform\'s settings file with {change}')
def step_check(context, change):
    with TemporaryDirectory() as name:
        path = Path(name) / "boot.toml"
        path.write_text(CHANGED_BOOTS[change])
        call_command(context, f"settings check {path}")


@then('it exits with code {code:d} and its output contains "{text}"')
def step_checked(context, code, text):
    assert context.exit_code == code, context.output
    assert text in context.output, context.output


@then('it is read as VM "{vm}" of data centre "{center}" with callers on port {port:d}')
def step_read(context, vm, center, port):
    found = context.boot.ok
    assert (found.identity.vm, found.identity.data_center) == (vm, center)
    assert found.callers.port == port and found.peers.port == 7360
    assert found.metrics.port == 9464
    assert found.store_url == "http://10.200.1.7:8688"


@then("its bounds are {revoked:g} s for withdrawn keys and {stop:g} s for a stop")
def step_bounds(context, revoked, stop):
    bounds = context.boot.ok.bounds
    assert (bounds.revoked_key_limit_s, bounds.stop_limit_s) == (revoked, stop)


def optional_bounds(context):
    """Return the bounds that only some settings files state."""
    bounds = context.boot.ok.bounds
    return bounds.evacuation_limit_s, bounds.cold_overage, bounds.cold_slack


@then("it bounds neither evacuations nor cold targets")
def step_no_optional_bounds(context):
    # A default would enable both in deployments that do not know them.
    assert optional_bounds(context) == (None, None, None)


@then(
    "it bounds evacuations by {limit:g} s, and cold targets by {overage:g} times their "
    "rate plus {slack:g}"
)
def step_optional_bounds(context, limit, overage, slack):
    assert optional_bounds(context) == (limit, overage, slack)


@then('it is refused with "{text}"')
def step_refused(context, text):
    assert context.boot.is_error(), context.boot
    assert text in str(context.boot.error), context.boot.error


@when('"primroseturn entry" runs with a settings file that does not exist')
def step_missing(context):
    context.code = 0
    with redirect_stderr(io.StringIO()):
        try:
            main(["entry", "--settings", "/nonexistent/boot.toml"])
        except SystemExit as end:
            context.code = end.code


@then("it exits with code {code:d}")
def step_code(context, code):
    assert context.code == code, context.code


@given("a stored configuration with two routes, a split, a key and no limits")
def step_configuration(context):
    context.decoded = decode_configuration(CONFIGURATION)


@then("its version is {version:d} and the first route has the longer prefix")
def step_version(context, version):
    found = context.decoded.ok
    assert found.version == version
    routes = found.routes_by_host["shop.example"]
    assert [route.prefix for route in routes] == ["/a/b/", "/a/"]
    assert [part.weight for part in routes[0].weighted_services] == [90, 10]
    assert found.limits.header_bytes == 16_384


@then("requests of a route of an unknown type are at-most-once")
def step_unknown_type(context):
    (route,) = [
        item
        for item in context.decoded.ok.routes_by_host["shop.example"]
        if item.name == "r1"
    ]
    assert not route.repeatable and not route.open


@then('the key belongs to workspace "{name}" with a rate of {rate:g}')
def step_key(context, name, rate):
    workspace = context.decoded.ok.workspaces_by_key["k1"]
    assert (workspace.name, workspace.rate, workspace.priority) == (name, rate, 1)


@given('a stored configuration of which "{field}" is {value}')
def step_wrong(context, field, value):
    values = {'"newest"': "newest", "7": 7, "[{}]": [{}]}
    context.decoded = decode_configuration({**CONFIGURATION, field: values[value]})


@then("it is refused as invalid")
def step_invalid(context):
    assert context.decoded.error.code == "configuration-invalid"


@then("any JSON value as an entry gives a target or a failure that names the entry")
def step_any_entry(context):
    scalars = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
    values = st.recursive(
        scalars, lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner)
    )
    known = {
        "service": st.text() | scalars,
        "address": st.just("10.1.2.3:80") | scalars,
        "zone": st.text() | scalars,
        "slots": st.integers() | scalars,
        "state": st.sampled_from(["ready", "draining", "lost"]) | scalars,
    }

    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    @for_all(values | st.fixed_dictionaries(known))
    def check(value):
        decoded = decode_target("i-1", value)
        if decoded.is_ok():
            assert isinstance(decoded.ok, Target) and decoded.ok.id == "i-1"
        else:
            assert "i-1" in str(decoded.error)

    check()


@given("a caller's headers with a key, a forged workspace, target and hop-by-hop field")
def step_headers(context):
    context.caller = read_caller_headers(
        [
            (b"host", b"shop.example"),
            (b"attempt-id", b"a1"),
            (b"authorization", b"Bearer secret"),
            (b"tenant", b"other"),
            (b"expect-instance", b"i-9"),
            (b"deadline-ms", b"999999"),
            (b"connection", b"close, x-hop"),
            (b"x-hop", b"1"),
            (b"x-kept", b"2"),
        ]
    )


@then("the target receives the headers of the VM in their place")
def step_forwarded(context):
    target = Target("i-1", "core", "h", 1, "a", 6, False, 0, 1)
    headers = attempt_headers(context.caller, target, "shop", 1.5, False)
    assert sorted(headers) == [
        (b"attempt-id", b"a1"),
        (b"deadline-ms", b"1500"),
        (b"expect-instance", b"i-1"),
        (b"host", b"shop.example"),
        (b"tenant", b"shop"),
        (b"x-kept", b"2"),
    ], headers
    assert context.caller.key == "secret"


@given("the store's stand-in")
def step_store(context):
    context.store = ObjectStore()


async def run_call(store, call):
    """Make one of the calls and return its result or its failure."""
    transport = ASGITransport(store, raise_app_exceptions=False)
    async with AsyncClient(base_url="http://store", transport=transport) as http:
        client = ObjectClient(http, 2.0)
        revision = await client.create("kind", "one", {"a": 1})
        try:
            return await CALLS[call](store, client, revision), revision
        except (StoreUnavailable, VersionConflict, HistoryLost) as failure:
            return failure, revision


async def watch_dropped(store, client, revision):
    store.drop_history()
    return await client.watch(
        "kind", revision._replace(number=revision.number - 1), 0.2
    )


async def list_many(store, client, revision):
    for number in range(1199):
        store.write(f"kind/n{number:04}", {"n": number})
    return len((await client.list_values("kind"))[1])


async def list_changed(store, client, stale):
    store.serve_stale_lists(True)
    await client.create("kind", "two", {"a": 2})
    return [item.name for item in (await client.list_values("kind", stale=stale))[1]]


async def call_above_rate(store, client, revision):
    store.set_faults(StoreFaults(calls_per_s=0.1))
    store.tokens = 0.0
    return await client.read("kind", "one")


async def write_lost(store, client, revision):
    store.set_faults(StoreFaults(lost_answer_share=1.0))
    return await client.replace("kind", "one", {"a": 2}, revision)


async def write_refused(store, client, revision):
    store.set_faults(StoreFaults(calls_per_s=0.1))
    store.tokens = 0.0
    return await client.replace("kind", "one", {"a": 2}, revision)


CALLS = {
    "a read of an absent object": lambda s, c, r: c.read("kind", "two"),
    "a create of an existing object": lambda s, c, r: c.create("kind", "one", 1),
    "a replace at another revision": lambda s, c, r: c.replace(
        "kind", "one", 1, StoreRevision(0, 99)
    ),
    "a delete at another revision": lambda s, c, r: c.delete(
        "kind", "one", StoreRevision(0, 99)
    ),
    "a watch from a dropped revision": watch_dropped,
    "a list of 1200 objects": list_many,
    "a stale list after a change": lambda s, c, r: list_changed(s, c, True),
    "a list after a change": lambda s, c, r: list_changed(s, c, False),
    "a call above the rate": call_above_rate,
    "a write whose response is lost": write_lost,
    "a write that was refused with 429": write_refused,
    "a PUT that changes nothing": lambda s, c, r: c.replace("kind", "one", {"a": 1}),
}
RESULTS = {
    "nothing": lambda found, revision: found is None,
    "a version conflict": lambda found, revision: isinstance(found, VersionConflict),
    "an error for the lost history": lambda found, revision: isinstance(
        found, HistoryLost
    ),
    "the objects before it": lambda found, revision: found == ["one"],
    "the objects after it": lambda found, revision: found == ["one", "two"],
    "all of them": lambda found, revision: found == 1200,
    "an unavailable-store error": lambda found, revision: isinstance(
        found, StoreUnavailable
    ),
    "an error with unknown outcome": lambda found, revision: found.maybe_applied,
    "an error with known outcome": lambda found, revision: not found.maybe_applied,
    "the same revision": lambda found, revision: found == revision,
}


@then("{call} gives {result}")
def step_call(context, call, result):
    found, revision = context.portal.call(run_call, context.store, call)
    assert RESULTS[result](found, revision), found


@given("a store that sends a value in {count:d} parts with pauses of {pause:g} s")
def step_slow_body(context, count, pause):
    value = b'{"metadata":{"name":"main","revision":3},"spec":"' + b"x" * 800 + b'"}'

    async def respond(scope, receive, send):
        headers = [(b"content-length", str(len(value)).encode())]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        size = -(-len(value) // count)
        for start in range(0, len(value), size):
            await sleep(pause)
            body = value[start : start + size]
            more = start + size < len(value)
            await send({"type": "http.response.body", "body": body, "more_body": more})

    context.slow_store = respond


@then("a read with a timeout of {seconds:g} s gets {result}")
def step_slow_read(context, seconds, result):
    async def run():
        async with serve_application(context.slow_store, "127.0.0.1", 0) as port:
            url = f"http://127.0.0.1:{port}"
            async with AsyncClient(base_url=url) as http:
                try:
                    return await ObjectClient(http, seconds).read("config", "main")
                except StoreUnavailable:
                    return None

    found = context.portal.call(run)
    assert (found is not None) == (result == "the value"), found
