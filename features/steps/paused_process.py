"""Steps for a daemon in a process of its own that is paused by a signal."""

import subprocess
import sys
from pathlib import Path
from signal import SIGCONT, SIGSTOP
from tempfile import mkdtemp

from anyio import create_task_group, fail_after, sleep
from behave import given, then, when
from httpx import AsyncClient, HTTPError
from msgspec.json import encode

from primroseturn.configuration.models import EntryVm
from primroseturn.serving.asgi import bind_listener

START_TIMEOUT_S = 10.0
REQUEST_COUNT = 10


def free_port() -> int:
    """Return a TCP port that is free at the time of the call."""
    with bind_listener("127.0.0.1", 0) as listener:
        return listener.getsockname()[1]


def start_process(context, vm: str) -> int:
    """Start a daemon process and return its port for callers."""
    fleet = context.fleet
    control_port = free_port()
    settings = {
        "identity": {"vm": vm, "data_center": "dc1", "region": "region1"},
        "store": {"url": f"http://127.0.0.1:{fleet.store_port}"},
        "control": {
            "address": {"host": "127.0.0.1", "port": control_port},
            "heartbeat_interval_s": 0.25,
        },
        "keys": {"isolation_limit_s": 2.0},
        "logs": {"events_file": "/dev/null"},
    }
    path = Path(mkdtemp()) / "settings.json"
    path.write_bytes(encode(settings))
    command = [sys.executable, "-m", "primroseturn", "daemon", "--settings", str(path)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    context.process = process

    def end_process() -> None:
        process.send_signal(SIGCONT)
        process.terminate()
        process.wait(10)
        process.stdout.close()

    context.cleanups.append(end_process)
    port = int(process.stdout.readline().rsplit(" ", 1)[1])

    async def list_vm() -> None:
        fleet.entry_vms.append(EntryVm(vm, "127.0.0.1", control_port, "dc1", "region1"))
        fleet.list_entry_vms()

    context.portal.call(list_vm)
    return port


async def send_request(context, port: int) -> int:
    """Send a request with a key and return the status, or 0 without a response."""
    key = context.fleet.secrets_by_workspace["shop"]
    try:
        async with AsyncClient(trust_env=False, timeout=20) as http:
            url = f"http://127.0.0.1:{port}/find/needle"
            return (await http.get(url, headers={"x-api-key": key})).status_code
    except HTTPError:
        return 0


@given('a daemon process "{vm}" that serves the workspace "{workspace}"')
def step_process(context, vm, workspace):
    context.port = start_process(context, vm)

    async def wait():
        with fail_after(START_TIMEOUT_S):
            while await send_request(context, context.port) != 200:
                await sleep(0.1)
        # Lets the VMs exchange heartbeats, so that only the pause is a fault.
        await sleep(0.7)

    context.portal.call(wait)


@when(
    'the process "{vm}" is paused for {seconds:g} s and the key of "{workspace}" is '
    "withdrawn"
)
def step_pause(context, vm, seconds, workspace):
    fleet = context.fleet
    context.statuses = []

    async def request():
        context.statuses.append(await send_request(context, context.port))

    async def run():
        withdrawals = fleet.kernels_by_vm["vm1"].find("withdrawals")
        async with create_task_group() as tasks:
            context.process.send_signal(SIGSTOP)
            for _ in range(REQUEST_COUNT):
                tasks.start_soon(request)
            tasks.start_soon(
                withdrawals.withdraw, fleet.key_ids_by_workspace[workspace], "pause"
            )
            await sleep(seconds)
            context.process.send_signal(SIGCONT)
            for _ in range(REQUEST_COUNT):
                await request()

    context.portal.call(run)


@then(
    'the process refuses each request of "{workspace}" that waited or arrives after '
    "the pause"
)
def step_all_refused(context, workspace):
    assert len(context.statuses) == 2 * REQUEST_COUNT, context.statuses
    assert set(context.statuses) <= {401, 503}, context.statuses
