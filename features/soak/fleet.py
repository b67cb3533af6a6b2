"""The processes of a soak, the relays between them, and the operator's actions."""

import json
import os
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count
from math import inf
from pathlib import Path
from random import Random
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM
from subprocess import DEVNULL
from typing import Any

from anyio import (
    CancelScope,
    create_task_group,
    current_time,
    fail_after,
    Lock,
    open_process,
    sleep,
)
from anyio.abc import Process, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream
from httpx import AsyncClient, HTTPError

from features.entry_fleet import HOST, route
from features.processes import choose_port
from features.soak.history import Disturbance, Execution, History, Stop, Version
from primroseturn.failures import StoreUnavailable
from primroseturn.platform.objects import ObjectClient
from primroseturn.platform.wire import CONFIGURATION_KIND, CONFIGURATION_NAME
from primroseturn.standins.relay import Relay, run_relay

LOOPBACK = "127.0.0.1"
MAX_LINE_BYTES = 65_536
START_TIMEOUT_S = 20.0
STORE_TIMEOUT_S = 1.0
# Time after which the platform restarts a process that has ended.
RESTART_DELAY_S = 0.3
# Longest time from SIGTERM to a VM until its process has ended.
GRACE_S = 6.0
REGIONS_BY_CENTER = {"a": "r1", "b": "r1", "c": "r2"}
# Requests per second and burst of the one limited workspace.
SMALL_RATE = 20.0

BOOT = """
[self]
node = "{vm}"
ip = "127.0.0.1"
zone = "{center}"
region = "{region}"
[network]
internal_ports = [{peers}, {peers}]
[network.listen]
front = "127.0.0.1:{callers}"
readiness = "127.0.0.1:{readiness}"
[network.zones]
a = "r1"
b = "r1"
c = "r2"
[platform.platform]
address = "127.0.0.1:{store}"
[timing_terms.bounds]
revoke_s = 5
grace_s = {grace}
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 58
"""


class SoakVm:
    """A VM: its ports, its process and its relay to the store.

    Attributes
    ----------
    start
        Number of starts of the process so far.
    is_stop_requested
        Whether SIGTERM was sent to this start of the process.
    """

    def __init__(self, name: str, store_relay: Relay) -> None:
        self.name = name
        self.store_relay = store_relay
        self.ports = {key: choose_port() for key in ("peers", "callers", "readiness")}
        self.process: Process | None = None
        self.start = 0
        self.is_stop_requested = False


class SoakTargetProcess:
    """A target's process and the relay to it.

    Attributes
    ----------
    port, listed_port
        Port of the process, and port of the relay, which is listed.
    """

    def __init__(self, target_id: str, service: str, relay: Relay) -> None:
        self.id = target_id
        self.service = service
        self.relay = relay
        self.process: Process | None = None
        self.port = 0
        self.listed_port = 0


class SoakFleet:
    """Starts, signals and ends the processes; it ends only those that it started.

    Attributes
    ----------
    program
        Module that a VM's process runs, with its arguments.
    numbers
        Numbers for ids, keys and versions; each is used only once.
    keys_by_workspace, services_by_kind
        Keys and routes of the newest configuration.
    """

    def __init__(
        self, tasks: TaskGroup, directory: Path, seed: int, program: list[str]
    ) -> None:
        self.tasks = tasks
        self.directory = directory
        self.random = Random(seed)
        self.program = program
        self.history = History()
        self.vms_by_name: dict[str, SoakVm] = {}
        self.targets_by_id: dict[str, SoakTargetProcess] = {}
        self.numbers = count(1)
        self.store_port = 0
        # All processes that were started, also those that were replaced since.
        self.processes: list[Process] = []
        self.http = AsyncClient(trust_env=False, timeout=STORE_TIMEOUT_S)
        self.keys_by_workspace = {"shop": ["shop-1"], "bench": ["bench-1"]}
        self.keys_by_workspace["small"] = ["small-1"]
        self.services_by_kind = {"lookup": "core", "order": "core", "sheet": "docs"}
        self.is_ending = False
        self.publishing = Lock()

    def start_disturbance(self, subject: str) -> Disturbance:
        """Record that a subject is disturbed from now on."""
        # The end is unknown; checks that run before it see an endless disturbance.
        disturbance = Disturbance(subject, current_time(), inf)
        self.history.disturbances.append(disturbance)
        return disturbance

    def end_disturbance(self, disturbance: Disturbance) -> None:
        """Record that a disturbance has ended."""
        self.history.disturbances.remove(disturbance)
        self.history.disturbances.append(disturbance._replace(end=current_time()))

    @asynccontextmanager
    async def disturb(self, *subjects: str) -> AsyncIterator[None]:
        """Record subjects as disturbed until the context ends."""
        disturbances = [self.start_disturbance(subject) for subject in subjects]
        try:
            yield
        finally:
            for disturbance in disturbances:
                self.end_disturbance(disturbance)

    async def start_process(self, command: list[str], **options: Any) -> Process:
        """Start a process, which is ended at the end of the soak at the latest."""
        process = await open_process(command, **options)
        self.processes.append(process)
        return process

    async def start_store(self) -> None:
        """Start the stand-in of the store."""
        command = [sys.executable, "-m", "primroseturn", "standin", "store"]
        process = await self.start_process(command, stdin=None, stderr=DEVNULL)
        output = BufferedByteReceiveStream(process.stdout)
        with fail_after(START_TIMEOUT_S):
            line = await output.receive_until(b"\n", MAX_LINE_BYTES)
        self.store_port = int(line.split()[-1])
        base_url = f"http://{LOOPBACK}:{self.store_port}"
        self.objects_http = AsyncClient(base_url=base_url, trust_env=False)
        self.objects = ObjectClient(self.objects_http, STORE_TIMEOUT_S)

    async def set_store_faults(self, **faults: Any) -> None:
        """Replace the faults in force at the store."""
        url = f"http://{LOOPBACK}:{self.store_port}/control/faults"
        # The store handles control calls even when its fault `hang` is in force.
        await self.http.post(url, json=faults)

    async def write_object(self, kind: str, name: str, value: Any) -> None:
        """Write or delete an object, and retry until the store has accepted it."""
        while True:
            try:
                if value is None:
                    await self.objects.delete(kind, name)
                else:
                    await self.objects.put(kind, name, value, exists=True)
                return
            except StoreUnavailable:
                # The store is unavailable or its response was lost. Writing the same
                # object again is harmless.
                await sleep(0.1)

    async def start_relay(self, port: int) -> tuple[Relay, int]:
        """Start a relay to a port, and return it with its own port."""
        relay = Relay(port)
        started: list[int] = []

        async def run() -> None:
            async with run_relay(relay) as own_port:
                started.append(own_port)
                while not self.is_ending:
                    await sleep(0.2)

        self.tasks.start_soon(run)
        while not started:
            await sleep(0.01)
        return relay, started[0]

    async def add_target(self, service: str) -> SoakTargetProcess:
        """Start a target and list it."""
        target_id = f"{service}-{next(self.numbers)}"
        command = [sys.executable, "-m", "features.soak.target", target_id, service]
        process = await self.start_process(command, stdin=None, stderr=None)
        output = BufferedByteReceiveStream(process.stdout)
        with fail_after(START_TIMEOUT_S):
            port = int(await output.receive_until(b"\n", MAX_LINE_BYTES))
        relay, listed_port = await self.start_relay(port)
        target = SoakTargetProcess(target_id, service, relay)
        target.process, target.port, target.listed_port = process, port, listed_port
        self.targets_by_id[target_id] = target
        self.tasks.start_soon(self.record_executions, output)
        await self.list_target(target, "ready")
        return target

    async def record_executions(self, output: BufferedByteReceiveStream) -> None:
        """Record the executions that a target prints."""
        try:
            while True:
                line = await output.receive_until(b"\n", MAX_LINE_BYTES)
                self.history.executions.append(Execution(**json.loads(line)))
        except Exception:
            # The target's process has ended.
            return

    async def list_target(self, target: SoakTargetProcess, state: str) -> None:
        """Write the list entry of a target."""
        center = self.random.choice(list(REGIONS_BY_CENTER))
        entry = {
            "service": target.service,
            "address": f"{LOOPBACK}:{target.listed_port}",
            "zone": center,
            "version": "v1",
            "slots": 6,
            "state": state,
            "cold_left_s": 0,
            "seq": next(self.numbers),
            "born": 1,
        }
        await self.write_object("servers", target.id, entry)

    async def add_vm(self, name: str, center: str) -> None:
        """Start a VM, and restart it whenever its process ends."""
        relay, port = await self.start_relay(self.store_port)
        vm = self.vms_by_name[name] = SoakVm(name, relay)
        text = BOOT.format(
            vm=name,
            center=center,
            region=REGIONS_BY_CENTER[center],
            store=port,
            grace=GRACE_S,
            **vm.ports,
        )
        self.settings_path(vm).write_text(text)
        self.tasks.start_soon(self.keep_running, vm)

    def settings_path(self, vm: SoakVm) -> Path:
        """Return the path of a VM's settings file."""
        return self.directory / f"{vm.name}.toml"

    async def keep_running(self, vm: SoakVm) -> None:
        """Run the process of a VM; restart it when it ends, as the platform does."""
        environment = {**os.environ, "PRIMROSETURN_BOOT": str(self.settings_path(vm))}
        with (self.directory / f"{vm.name}.jsonl").open("ab") as log:
            while not self.is_ending:
                vm.start += 1
                vm.is_stop_requested = False
                command = [sys.executable, "-m", *self.program]
                disturbance = self.start_disturbance(vm.name)
                vm.process = await self.start_process(
                    command, stdin=None, stdout=log, stderr=log, env=environment
                )
                self.tasks.start_soon(self.wait_until_ready, vm, vm.start, disturbance)
                await vm.process.wait()
                async with self.disturb(vm.name):
                    await sleep(RESTART_DELAY_S)

    async def wait_until_ready(
        self, vm: SoakVm, start: int, disturbance: Disturbance
    ) -> None:
        """Wait until a VM is ready or has ended, and end the disturbance."""
        url = f"http://{LOOPBACK}:{vm.ports['readiness']}/primroseturn/ready"
        while vm.start == start and not self.is_ending:
            try:
                if (await self.http.get(url)).status_code == 200:
                    break
            except HTTPError:
                # The VM does not listen yet, or has already ended.
                pass
            await sleep(0.05)
        self.end_disturbance(disturbance)

    def send_signal(self, vm: SoakVm, number: int) -> None:
        """Send a signal to a VM's process if it runs."""
        if vm.process is not None and vm.process.returncode is None:
            vm.process.send_signal(number)

    async def pause(self, vm: SoakVm, seconds: float) -> None:
        """Pause the process of a VM for a number of seconds."""
        async with self.disturb(vm.name):
            self.send_signal(vm, SIGSTOP)
            await sleep(seconds)
            self.send_signal(vm, SIGCONT)

    async def kill(self, vm: SoakVm) -> None:
        """Kill the process of a VM."""
        async with self.disturb(vm.name):
            self.send_signal(vm, SIGKILL)
            await sleep(RESTART_DELAY_S)

    async def stop(self, vm: SoakVm) -> None:
        """Stop a VM with SIGTERM, and kill it if it has not ended in `GRACE_S`."""
        process, start, at = vm.process, vm.start, current_time()
        if process is None or process.returncode is not None or vm.is_stop_requested:
            return
        vm.is_stop_requested = True
        process.send_signal(SIGTERM)
        try:
            with fail_after(GRACE_S):
                await process.wait()
        except TimeoutError:
            self.send_signal(vm, SIGKILL)
        self.history.stops.append(Stop(vm.name, start, at, current_time()))

    def reload(self, vm: SoakVm) -> None:
        """Change a VM's settings file and send it SIGHUP."""
        path = self.settings_path(vm)
        path.write_text(path.read_text() + f"# change {next(self.numbers)}\n")
        self.send_signal(vm, SIGHUP)

    async def publish_configuration(self) -> None:
        """Write the configuration with the next version number.

        Versions are written one after the other: a retry of an older one would replace
        a newer one in the store.
        """
        async with self.publishing:
            await self.write_version(next(self.numbers))

    async def write_version(self, number: int) -> None:
        """Write the configuration as a version, and record what it holds."""
        kinds = {"lookup": "idempotent", "order": "non_idempotent", "sheet": "download"}
        document = {
            "version": f"r{number}",
            "services": [{"name": "core", "max_conns": 300}],
            "limits": {},
            "tenants": [
                {
                    "name": name,
                    "api_keys": keys,
                    "rate_per_s": SMALL_RATE if name == "small" else 0,
                    "burst": SMALL_RATE if name == "small" else 0,
                }
                for name, keys in self.keys_by_workspace.items()
            ],
            "virtual_hosts": [
                {
                    "host": HOST,
                    "paths": [
                        route(
                            kind,
                            f"/{kind}/",
                            kinds[kind],
                            service=service,
                            attempts=3,
                        )
                        for kind, service in self.services_by_kind.items()
                    ],
                }
            ],
        }
        workspaces_by_key = {
            key: name for name, keys in self.keys_by_workspace.items() for key in keys
        }
        services_by_kind = dict(self.services_by_kind)
        written_at = current_time()
        await self.write_object(CONFIGURATION_KIND, CONFIGURATION_NAME, document)
        self.history.versions.append(
            Version(
                number,
                written_at,
                current_time(),
                workspaces_by_key,
                services_by_kind,
                {"small": SMALL_RATE},
            )
        )

    async def end_all(self) -> None:
        """Kill all processes and close the HTTP clients."""
        self.is_ending = True
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(SIGKILL)
                await process.wait()
        await self.http.aclose()
        await self.objects_http.aclose()


@asynccontextmanager
async def run_soak_fleet(
    directory: Path, seed: int, program: list[str]
) -> AsyncIterator[SoakFleet]:
    """Run a fleet with a store, and kill all processes when the context ends.

    A soak adds the targets and the VMs.
    """
    async with create_task_group() as tasks:
        fleet = SoakFleet(tasks, directory, seed, program)
        try:
            await fleet.start_store()
            yield fleet
        finally:
            with CancelScope(shield=True):
                await fleet.end_all()
            tasks.cancel_scope.cancel()
