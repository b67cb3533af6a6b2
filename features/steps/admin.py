"""Steps of operators who use the administration API."""

import json
from hashlib import sha256
from pathlib import Path
from ssl import create_default_context
from tempfile import mkdtemp
from time import monotonic, sleep

from anyio import create_task_group
from behave import given, then, when
from httpx import AsyncClient
from msgspec.structs import replace

from features.certificates import write_certificate
from features.fleet import run_fleet
from features.steps.product_commands import call_command
from features.steps.request_path import fill_fleet
from primroseturn.admin.client import (
    AdminRefused,
    create_operation_id,
    open_client,
)
from primroseturn.standins.store import StoreFaults

TOKENS = {"writer": "writer-token", "reader": "reader-token", "wrong": "other"}


def digest(token):
    """Return the digest of a token in the form that the settings have."""
    return sha256(token.encode()).hexdigest()


def admin_url(context, vm="vm1"):
    """Return the base URL of a daemon's administration API."""
    return f"http://127.0.0.1:{context.fleet.kernels_by_vm[vm].find('admin')}"


@given("a fleet with {targets:d} targets and {daemons:d} daemons for operators")
def step_fleet(context, targets, daemons):
    directory = Path(mkdtemp())
    context.events_file = directory / "events.jsonl"
    context.token_file = directory / "token"
    context.token_file.write_text(TOKENS["writer"])
    manager = context.portal.wrap_async_context_manager(run_fleet())
    context.fleet = fleet = manager.__enter__()
    context.cleanups.append(lambda: manager.__exit__(None, None, None))
    add_daemon = fleet.add_daemon

    async def add_daemon_for_operators(vm, admin_tls=None, **sections):
        sections["admin"] = {
            "reader_digests": [digest(TOKENS["reader"])],
            "writer_digests": [digest(TOKENS["writer"])],
            "tls": admin_tls,
        }
        sections["logs"] = {"events_file": str(context.events_file)}
        return await add_daemon(vm, **sections)

    fleet.add_daemon = add_daemon_for_operators
    context.portal.call(fill_fleet, fleet, targets, daemons)
    context.version_before = fleet.version
    context.outputs = []


def run_admin(context, command):
    """Run a command of `primroseturn admin` against vm1."""
    line = f"admin {command} --token-file {context.token_file}"
    if "--url" not in command:
        line += f" --url {admin_url(context)}"
    call_command(context, line)
    context.outputs.append(context.output)


def call_api(context, task, token=TOKENS["writer"], vm="vm1"):
    """Run a task with a client of the administration API and return its result."""

    async def run_with_client():
        async with open_client(admin_url(context, vm), token) as client:
            return await task(client)

    return context.portal.call(run_with_client)


@when('the operator runs "{command}"')
def step_operator(context, command):
    run_admin(context, command)


@when('the operator repeats "{command}" with one operation id')
def step_repeat(context, command):
    line = f"{command} --operation-id {create_operation_id()}"
    run_admin(context, line)
    context.portal.call(context.fleet.store.set_faults, StoreFaults())
    sleep(0.2)
    run_admin(context, line)


@given("the store loses the responses to all writes")
def step_lost_responses(context):
    faults = StoreFaults(lost_answer_share=1.0)
    context.portal.call(context.fleet.store.set_faults, faults)


@given("the store has an outage")
def step_outage(context):
    context.portal.call(context.fleet.store.set_faults, StoreFaults(outage=True))


@when('the operator issues a key for "{workspace}"')
def step_issue_key(context, workspace):
    run_admin(context, f"give-key {workspace} --json")
    assert context.exit_code == 0, context.output
    issued_key = json.loads(context.stdout)
    context.outputs.pop()
    context.fleet.secrets_by_workspace[workspace] = issued_key["secret"]
    context.fleet.key_ids_by_workspace[workspace] = issued_key["name"]


@when('the operator withdraws the key of "{workspace}"')
def step_withdraw(context, workspace):
    run_admin(context, f"withdraw-key {context.fleet.key_ids_by_workspace[workspace]}")
    assert context.exit_code == 0, context.output


def wait_until(condition, timeout_s):
    """Wait until a condition holds; fail after `timeout_s` seconds."""
    deadline = monotonic() + timeout_s
    while not condition():
        assert monotonic() < deadline, (
            f"the condition did not hold within {timeout_s} s"
        )
        sleep(0.02)


def gets_status(context, workspace, vm, status):
    """Return whether a request with the workspace's key gets a status from a VM."""
    key = context.fleet.secrets_by_workspace[workspace]
    response = context.portal.call(context.fleet.request, vm, "GET", "/find/x", key)
    return response.status_code == status


@then('the key of "{workspace}" is accepted by "{one}" and "{two}" within {limit:d} s')
def step_accepted(context, workspace, one, two, limit):
    for vm in (one, two):
        wait_until(lambda vm=vm: gets_status(context, workspace, vm, 200), limit)


@then('the key of "{workspace}" is refused by "{one}" and "{two}" within {limit:d} s')
def step_refused(context, workspace, one, two, limit):
    for vm in (one, two):
        wait_until(lambda vm=vm: gets_status(context, workspace, vm, 401), limit)


@then('no response or event shows the secret of "{workspace}"')
def step_secret_hidden(context, workspace):
    secret = context.fleet.secrets_by_workspace[workspace].split("_", 2)[2]
    run_admin(context, "list key --json")
    shown = "".join(context.outputs) + context.events_file.read_text()
    assert "admin-change" in shown, "the events were not written"
    assert secret not in shown
    assert '"digest"' not in shown and '"salt"' not in shown


@then('the workspace "{name}" has the rate {rate:d}')
def step_rate(context, name, rate):
    sleep(0.2)
    state = context.fleet.kernels_by_vm["vm1"].find("replica").state
    assert state.workspaces_by_name[name].rate == rate


def race(context, count, name_of, version_of):
    """Run changes of several operators at the same time and record the results."""
    results = []

    async def change(number):
        vm = f"vm{number % 2 + 1}"
        async with open_client(admin_url(context, vm), TOKENS["writer"]) as client:
            name = name_of(number)
            version = await version_of(client, name)
            body = {"name": name, "rate": 10.0 + number, "burst": 5.0}
            try:
                operation_id = create_operation_id()
                await client.change("workspace", name, body, version, operation_id)
                results.append("accepted")
            except AdminRefused as failure:
                results.append(failure.kind)

    async def run_all():
        async with create_task_group() as tasks:
            for number in range(count):
                tasks.start_soon(change, number)

    context.portal.call(run_all)
    context.race_results = results


@when(
    '{count:d} operators change the workspace "{name}" at the same version '
    "through both VMs"
)
def step_race_same(context, count, name):
    version, _ = call_api(context, lambda client: client.find_object("workspace", name))

    async def version_before(client, _):
        return version

    race(context, count, lambda _: name, version_before)


@when(
    "{count:d} operators create different workspaces at the same time through both VMs"
)
def step_race_different(context, count):
    async def version_of_new(client, _):
        return 0

    race(context, count, lambda number: f"new{number}", version_of_new)


@then("exactly {count:d} of the changes is accepted and the others are conflicts")
def step_race_conflicts(context, count):
    results = sorted(context.race_results)
    expected = ["accepted"] * count
    expected += ["change-conflict"] * (len(results) - count)
    assert results == expected, results


@then("exactly {count:d} of the changes are accepted")
def step_race_accepted(context, count):
    assert context.race_results == ["accepted"] * count, context.race_results


@then("the configuration grew by {count:d} change")
@then("the configuration grew by {count:d} changes")
def step_growth(context, count):
    keys = context.fleet.store.entries_by_key
    changes = sum(key.startswith("config/log/") for key in keys)
    assert changes - context.version_before == count, changes


@then('the preset "{name}" is in force on "{one}" and "{two}" within {limit:d} s')
def step_preset(context, name, one, two, limit):
    for vm in (one, two):
        replica = context.fleet.kernels_by_vm[vm].find("replica")
        wait_until(lambda r=replica: r.state.preset_in_force.name == name, limit)


@then("each call with a credential gets the stated response")
def step_calls_credential(context):
    for row in context.table:
        headers = {}
        if row["credential"] != "missing":
            headers["authorization"] = f"Bearer {TOKENS[row['credential']]}"
        check_call(context, row, headers, "{}")


@then("each call with a body gets the stated response")
def step_calls_body(context):
    headers = {"authorization": f"Bearer {TOKENS['writer']}"}
    for row in context.table:
        check_call(context, row, headers, row["body"])


def check_call(context, row, headers, body):
    """Send the call of a table row and compare its response."""
    response = send_call(context, row["method"], row["path"], headers, body)
    actual = (response.status_code, response.json().get("type", ""))
    assert actual == (int(row["status"]), row["type"]), (row.cells, response.text)


def send_call(context, method, path, headers, body):
    """Send a raw call to vm1 and return its response."""

    async def send():
        url = f"{admin_url(context)}/v1/{path}"
        return await context.fleet.http.request(
            method, url, headers=headers, content=body
        )

    return context.portal.call(send)


@when("the operator creates {count:d} workspaces")
def step_create_many(context, count):
    async def create_workspaces(client):
        for number in range(count):
            name = f"page{number}"
            body = {"name": name, "rate": 1.0, "burst": 1.0}
            await client.change("workspace", name, body, 0, create_operation_id())

    call_api(context, create_workspaces)
    context.workspaces = sorted(["shop", *(f"page{n}" for n in range(count))])
    replica = context.fleet.kernels_by_vm["vm1"].find("replica")
    wait_until(lambda: len(replica.state.workspaces_by_name) == count + 1, 5)


@when("the workspaces are read in pages of {limit:d}")
def step_read_pages(context, limit):
    async def read_pages(client):
        names, after = [], ""
        while after is not None:
            page = await client.call(
                "GET", "objects/workspace", limit=limit, after=after
            )
            assert len(page["objects"]) <= limit
            names += [item["name"] for item in page["objects"]]
            after = page["next_after"]
        return names

    context.paged_names = call_api(context, read_pages)


@then("the pages hold every workspace exactly once")
def step_pages(context):
    assert context.paged_names == context.workspaces, context.paged_names


@then('the audit entry of operation "{operation_id}" names the operator and a time')
def step_audit(context, operation_id):
    sleep(0.2)
    entries = call_api(context, lambda client: client.call("GET", "audit"))["entries"]
    entry = next(item for item in entries if item["operation_id"] == operation_id)
    assert entry["author"] == digest(TOKENS["writer"])[:8], entry
    assert entry["at_unix_s"] > 0 and entry["kind"] == "workspace", entry


@given('a daemon "{vm}" with a certificate for its address')
def step_tls_daemon(context, vm):
    files = write_certificate(context.token_file.parent)
    context.ca_file = files[0]
    tls = {"certificate_file": str(files[0]), "key_file": str(files[1])}
    fleet = context.fleet

    async def start():
        await fleet.add_daemon(vm, callers={"tls": tls}, admin_tls=tls)
        await fleet.wait_ready()

    context.portal.call(start)


@when('the operator runs "{command}" on "{vm}" {kind} the certificate\'s authority')
def step_tls_operator(context, command, vm, kind):
    url = admin_url(context, vm).replace("http:", "https:")
    option = f" --ca-file {context.ca_file}" if kind == "with" else ""
    run_admin(context, f"{command} --url {url}{option}")


@then('a caller who trusts the authority gets status {status:d} from "{vm}" over TLS')
def step_tls_caller(context, status, vm):
    key = context.fleet.secrets_by_workspace["shop"]
    port = context.fleet.kernels_by_vm[vm].find("callers")
    verify = create_default_context(cafile=context.ca_file)

    async def send():
        async with AsyncClient(verify=verify, trust_env=False) as http:
            url = f"https://127.0.0.1:{port}/find/x"
            return await http.get(url, headers={"x-api-key": key})

    response = context.portal.call(send)
    assert response.status_code == status, response.text


def replying_vms(context):
    """Return the VMs that reply when vm1 queries the status of the fleet."""
    response = call_api(context, lambda client: client.call("GET", "fleet"))
    return {item["vm"] for item in response["vms"]}


@given('the list of entry VMs also names "{vm}", which does not run')
def step_absent_vm(context, vm):
    fleet = context.fleet
    fleet.entry_vms.append(replace(fleet.entry_vms[0], vm=vm, control_port=9))
    context.portal.call(fleet.list_entry_vms)
    listing = fleet.kernels_by_vm["vm1"].find("listing")
    wait_until(lambda: vm in listing.daemons_by_vm, 5)
    # The bus learns the addresses of peers from heartbeats.
    wait_until(lambda: "vm2" in replying_vms(context), 5)


@then('"{one}" and "{two}" report the version in force and "{vm}" does not reply')
def step_fleet_status(context, one, two, vm):
    response = json.loads(context.stdout)
    versions = {item["vm"]: item["version"] for item in response["vms"]}
    expected = context.fleet.version
    assert versions == {one: expected, two: expected}, response
    assert response["unheard"] == [vm], response


@given('the kernel service "listing" of "{vm}" is broken')
def step_broken_lists(context, vm):
    context.fleet.kernels_by_vm[vm].services_by_name["listing"] = None
