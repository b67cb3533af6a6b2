"""Steps for the soak: a short one on processes, and its checks on records."""

import subprocess
import sys

from behave import given, then, when

from features.soak.history import Execution, History, SentRequest, Stop, Version
from features.soak.promises import checks_by_name, find_violations

SOAK_TIMEOUT_S = 150.0
KEYS = {"shop-1": "shop", "small-1": "small"}
OLD_ROUTES = {"lookup": "core", "order": "core", "sheet": "docs"}
NEW_ROUTES = {**OLD_ROUTES, "lookup": "docs"}


class Records:
    """A history to which requests are added one by one."""

    def __init__(self) -> None:
        self.history = History()
        self.request_count = 0
        self.add_version(1, 0.0, KEYS, OLD_ROUTES)
        # The route moves at 100 s.
        self.add_version(2, 100.0, KEYS, NEW_ROUTES)

    def add_version(self, number, at, keys, routes) -> None:
        """Add a version of the configuration."""
        rates = {"small": 20.0}
        version = Version(number, at, at + 0.01, dict(keys), dict(routes), rates)
        self.history.versions.append(version)

    def add_request(self, kind="order", at=10.0, service="core", **fields) -> str:
        """Add a request and its executions at the `targets`, and return its attempt."""
        self.request_count += 1
        attempt = f"{kind}-{self.request_count}"
        targets = fields.pop("targets", ["t1"])
        workspace = fields.pop("workspace", None)
        key = fields.get("key", "shop-1")
        sent = SentRequest(attempt, kind, "vm1", 1, key, at, at + 0.05, 200, True, True)
        self.history.sent.append(sent._replace(**fields))
        for index, target in enumerate(targets):
            ran_at, ran_for = at + 0.01 + index / 1e3, workspace or KEYS[key]
            execution = Execution(
                ran_at, attempt, service, target, ran_for, False, "POST /"
            )
            self.history.executions.append(execution)
        return attempt


@given("records in which all promises are kept")
def step_records(context):
    context.records = records = Records()
    for number in range(30):
        records.add_request(at=10.0 + number)
        records.add_request("lookup", at=10.0 + number, targets=["t1", "t2"])
        records.add_request(at=10.0 + number, status=503, targets=[])
        records.add_request(at=10.0 + number, key="small-1")
    # For 2 s after a route moved, its requests may be handled by either version.
    records.add_request("lookup", at=101.5)
    records.add_request("lookup", at=102.5, service="docs")


@then("no promise is broken")
def step_no_violation(context):
    broken = find_violations(context.records.history)
    assert not broken, broken


@then('only "{promise}" is broken')
def step_only_violation(context, promise):
    assert promise in checks_by_name
    broken = find_violations(context.records.history)
    names = {line.partition(":")[0] for line in broken}
    assert names == {promise}, broken


@when("an order runs at two targets")
def step_run_twice(context):
    context.records.add_request(targets=["t1", "t2"])


@when("an order that ran gets 503")
def step_refused_but_run(context):
    context.records.add_request(status=503)


@when("a successful response is incomplete")
def step_incomplete(context):
    context.records.add_request("sheet", service="docs", is_complete=False)


@when("a request with a key of one workspace runs for another")
def step_workspace(context):
    context.records.add_request(workspace="small")


@when("a request runs {seconds:g} s after its key was withdrawn")
def step_withdrawn(context, seconds):
    keys = {"shop-2": "shop", "small-1": "small"}
    context.records.add_version(3, 200.0, keys, NEW_ROUTES)
    context.records.add_request(at=200.01 + seconds)


@when("a lookup follows the old route {seconds:g} s after the route moved")
def step_old_route(context, seconds):
    context.records.add_request("lookup", at=100.01 + seconds, vm="vm2")


@when("a VM returns to the old route after the new one")
def step_return_to_old_route(context):
    records = context.records
    records.add_request("lookup", at=100.5, service="docs", vm="vm3")
    records.add_request("lookup", at=101.0, vm="vm3")


@when("the limited workspace runs {count:d} requests in {seconds:g} s")
def step_over_rate(context, count, seconds):
    for number in range(count):
        at = 50.0 + number * seconds / count
        context.records.add_request(at=at, key="small-1")


@when("lookups are repeated {count:d} times")
def step_repeats(context, count):
    for number in range(count):
        at = 60.0 + number / count
        context.records.add_request("lookup", at=at, targets=["t1", "t2"])


@when("a request reaches a target {seconds:g} s after it started to drain")
def step_draining_target(context, seconds):
    context.records.history.draining_at_by_target["t9"] = 70.0
    context.records.add_request(at=70.0 + seconds, targets=["t9"])


@when("a forwarded request is cut by a stop")
def step_cut_by_stop(context):
    context.records.history.stops.append(Stop("vm4", 1, 80.0, 85.0))
    context.records.add_request(at=81.0, vm="vm4", status=None, is_complete=False)


@when("a soak of {seconds:d} s is run with seed {seed:d}")
def step_soak(context, seconds, seed):
    command = [sys.executable, "-m", "features.soak"]
    options = ["--seeds", str(seed), "--seconds", str(seconds), "--vms", "4"]
    context.soak = subprocess.run(
        [*command, *options],
        capture_output=True,
        text=True,
        timeout=SOAK_TIMEOUT_S,
        check=False,
    )


@then("it broke no promise")
def step_no_promise_broken(context):
    output = context.soak.stdout + context.soak.stderr
    assert context.soak.returncode == 0, output
    assert "1 of 1 seeds held" in output, output
