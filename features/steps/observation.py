"""Steps about metrics, health and events."""

import json
import re
from ast import Load, Name, parse, walk
from pathlib import Path

from anyio import sleep
from behave import then, when
from expression import Error

from features.steps.admin import wait_until
from primroseturn.failures import Failure
from primroseturn.observation.catalogue import events_by_number
from primroseturn.observation.page import render_page
from primroseturn.standins.store import StoreFaults

EVENTS_PAGE = Path("docs/events.md")
DEFINITION = re.compile(r"^(\w+) = define_event\(", re.M)


def fetch(context, vm, path):
    """Return the response of a daemon's metrics address."""
    port = context.fleet.kernels_by_vm[vm].find("metrics")

    return context.portal.call(context.fleet.http.get, f"http://127.0.0.1:{port}{path}")


@then('the metrics of "{vm}" contain these samples')
def step_samples(context, vm):
    expected = {row["sample"] for row in context.table}
    lines = fetch(context, vm, "/metrics").text.splitlines()
    assert expected <= set(lines), (expected - set(lines), lines)


@then('the metrics of "{vm}" show neither the key nor the name of "{workspace}"')
def step_metrics_hide(context, vm, workspace):
    text = fetch(context, vm, "/metrics").text
    assert "primroseturn_request_seconds_count 1.0" in text
    assert context.fleet.secrets_by_workspace[workspace] not in text
    assert f'"{workspace}"' not in text


@when('a daemon "{vm}" starts while the store has an outage')
def step_start_without_store(context, vm):
    fleet = context.fleet

    async def start():
        fleet.store.set_faults(StoreFaults(outage=True))
        fleet.entry_vms = []
        await fleet.add_daemon(vm)
        await sleep(0.2)

    context.portal.call(start)


@then('"{vm}" is live')
def step_live(context, vm):
    assert fetch(context, vm, "/live").status_code == 200


@then('"{vm}" becomes ready')
def step_ready(context, vm):
    wait_until(lambda: fetch(context, vm, "/ready").status_code == 200, 5)


@then('"{vm}" is not ready because of "{reason}"')
def step_not_ready(context, vm, reason):
    response = fetch(context, vm, "/ready")
    assert response.status_code == 503, response.text
    assert reason in response.json()["reasons"], response.text


@when('"{vm}" begins to drain')
def step_drain(context, vm):
    context.fleet.kernels_by_vm[vm].find("readiness").begin_drain()


class FailingIsolation:
    """Isolation service of a daemon that receives messages from no peer."""

    def check(self, now):
        """Return the error of an isolated daemon."""
        return Error(Failure("isolated"))


@when('the isolation check of "{vm}" fails')
def step_isolated(context, vm):
    services = context.fleet.kernels_by_vm[vm].services_by_name
    services["isolation"] = FailingIsolation()


@then('the page of events is what "primroseturn events" prints')
def step_events_page(context):
    assert EVENTS_PAGE.read_text() == render_page(), (
        "run: primroseturn events > docs/events.md"
    )


@then("every defined event is used outside its definition")
def step_events_used(context):
    files = [path.read_text() for path in Path("primroseturn").rglob("*.py")]
    names = [name for text in files for name in DEFINITION.findall(text)]
    assert len(names) == len(events_by_number), names
    # Imports and definitions do not count as uses: they are not in load context.
    used = {
        node.id
        for text in files
        for node in walk(parse(text))
        if isinstance(node, Name) and isinstance(node.ctx, Load)
    }
    unused = [name for name in names if name not in used]
    assert not unused, unused


def emitted_events(context):
    """Return the numbers and names of the events in the events file."""
    lines = context.events_file.read_text().splitlines()
    return {
        (item["event"], item["message_type"])
        for item in map(json.loads, lines)
        if "event" in item
    }


@then("the events file holds only events of the page, with their names")
def step_only_listed(context):
    rows = re.findall(r"^\| (\d+) \| ([\w-]+) \|", EVENTS_PAGE.read_text(), re.M)
    listed = {(int(number), name) for number, name in rows}
    expected = {(201, "request-refused"), (1001, "admin-change")}
    # A background task writes the lines, possibly after the response.
    wait_until(lambda: expected <= emitted_events(context), 2)
    emitted = emitted_events(context)
    assert emitted <= listed, emitted - listed


@then('"{vm}" has every metric that the operators\' page names')
def step_metrics_page(context, vm):
    page = Path("docs/operators/observation.md").read_text()
    named = set(re.findall(r"`(primroseturn_\w+)", page))
    assert len(named) > 10, named
    text = fetch(context, vm, "/metrics").text
    # A counter with labels has a HELP line, but no sample before its first event.
    families = re.findall(r"^# HELP (\S+)", text, re.M)
    missing = named - set(families)
    assert not missing, missing
    assert len(families) == len(set(families)), sorted(families)


@then("the events file holds probes in both directions within {limit:d} s")
def step_probes(context, limit):
    def received():
        lines = map(json.loads, context.events_file.read_text().splitlines())
        return {item["vm"] for item in lines if item.get("event") == 111}

    wait_until(lambda: received() == {"vm1", "vm2"}, limit)


@then("the events file holds event {number:d} within {limit:d} s")
def step_event_emitted(context, number, limit):
    def emitted():
        lines = map(json.loads, context.events_file.read_text().splitlines())
        return number in {item.get("event") for item in lines}

    # A background task writes the lines, possibly after the response.
    wait_until(emitted, limit)
