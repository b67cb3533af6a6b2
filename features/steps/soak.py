"""Steps for the soak: a short one over processes, and its checks over records."""

import subprocess
import sys

from behave import given, then, when

from features.soak.history import History, Run, Sent, Stop, Version
from features.soak.promises import checks_by_name, find_broken

SOAK_LIMIT_S = 150.0
KEYS = {"shop-1": "shop", "small-1": "small"}
OLD_ROUTES = {"lookup": "core", "order": "core", "sheet": "docs"}
NEW_ROUTES = {**OLD_ROUTES, "lookup": "docs"}


class Records:
    """A history that is written by hand, with one request at a time."""

    def __init__(self) -> None:
        self.history = History()
        self.count = 0
        self.publish(1, 0.0, KEYS, OLD_ROUTES)
        # The route moves at 100 s.
        self.publish(2, 100.0, KEYS, NEW_ROUTES)

    def publish(self, number, at, keys, routes) -> None:
        """Add a version of the configuration."""
        rates = {"small": 20.0}
        version = Version(number, at, at + 0.01, dict(keys), dict(routes), rates)
        self.history.versions.append(version)

    def send(self, kind="order", at=10.0, service="core", **fields) -> str:
        """Add a request and its run; `targets` names where it ran."""
        self.count += 1
        attempt = f"{kind}-{self.count}"
        targets = fields.pop("targets", ["t1"])
        workspace = fields.pop("workspace", None)
        key = fields.get("key", "shop-1")
        sent = Sent(attempt, kind, "vm1", 1, key, at, at + 0.05, 200, True, True)
        self.history.sent.append(sent._replace(**fields))
        for index, target in enumerate(targets):
            ran_at, owner = at + 0.01 + index / 1e3, workspace or KEYS[key]
            run = Run(ran_at, attempt, service, target, owner, False, "POST /")
            self.history.runs.append(run)
        return attempt


@given("records in which everything holds")
def step_records(context):
    context.records = records = Records()
    for number in range(30):
        records.send(at=10.0 + number)
        records.send("lookup", at=10.0 + number, targets=["t1", "t2"])
        records.send(at=10.0 + number, status=503, targets=[])
        records.send(at=10.0 + number, key="small-1")
    # A moved route may be handled either way for 2 s.
    records.send("lookup", at=101.5)
    records.send("lookup", at=102.5, service="docs")


@then("no promise is broken")
def step_none(context):
    broken = find_broken(context.records.history)
    assert not broken, broken


@then('only "{promise}" is broken')
def step_only(context, promise):
    assert promise in checks_by_name
    broken = find_broken(context.records.history)
    names = {line.partition(":")[0] for line in broken}
    assert names == {promise}, broken


@when("an order runs at two targets")
def step_twice(context):
    context.records.send(targets=["t1", "t2"])


@when("an order that ran is answered 503")
def step_refused(context):
    context.records.send(status=503)


@when("a success is not whole")
def step_cut(context):
    context.records.send("sheet", service="docs", whole=False)


@when("a request runs as another workspace")
def step_workspace(context):
    context.records.send(workspace="small")


@when("a request runs {seconds:g} s after its key was withdrawn")
def step_withdrawn(context, seconds):
    keys = {"shop-2": "shop", "small-1": "small"}
    context.records.publish(3, 200.0, keys, NEW_ROUTES)
    context.records.send(at=200.01 + seconds)


@when("a lookup runs by the old route {seconds:g} s after a move")
def step_old_route(context, seconds):
    context.records.send("lookup", at=100.01 + seconds, vm="vm2")


@when("a VM goes back to the old route after the new one")
def step_back(context):
    records = context.records
    records.send("lookup", at=100.5, service="docs", vm="vm3")
    records.send("lookup", at=101.0, vm="vm3")


@when("the limited workspace runs {count:d} requests in {seconds:g} s")
def step_rate(context, count, seconds):
    for number in range(count):
        at = 50.0 + number * seconds / count
        context.records.send(at=at, key="small-1")


@when("lookups are repeated {count:d} times")
def step_repeats(context, count):
    for number in range(count):
        at = 60.0 + number / count
        context.records.send("lookup", at=at, targets=["t1", "t2"])


@when("a request reaches a target {seconds:g} s after it has left")
def step_left(context, seconds):
    context.records.history.left_at_by_target["t9"] = 70.0
    context.records.send(at=70.0 + seconds, targets=["t9"])


@when("a request that was passed on is cut by a stop")
def step_stop(context):
    context.records.history.stops.append(Stop("vm4", 1, 80.0, 85.0))
    context.records.send(at=81.0, vm="vm4", status=None, whole=False)


@when("a soak of {seconds:d} s is played with seed {seed:d}")
def step_soak(context, seconds, seed):
    command = [sys.executable, "-m", "features.soak"]
    options = ["--seeds", str(seed), "--seconds", str(seconds), "--vms", "4"]
    context.soak = subprocess.run(
        [*command, *options],
        capture_output=True,
        text=True,
        timeout=SOAK_LIMIT_S,
        check=False,
    )


@then("it broke no promise")
def step_held(context):
    output = context.soak.stdout + context.soak.stderr
    assert context.soak.returncode == 0, output
    assert "1 of 1 seeds held" in output, output
