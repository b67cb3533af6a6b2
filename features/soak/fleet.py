"""The processes of a soak, the proxies between them, and the operator."""

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
    open_process,
    sleep,
)
from anyio.abc import Process, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream
from httpx import AsyncClient, HTTPError

from features.entry_fleet import HOST, route
from features.processes import choose_port
from features.soak.history import History, Run, Span, Stop, Version
from primroseturn.failures import StoreUnavailable
from primroseturn.platform.objects import ObjectClient
from primroseturn.platform.wire import CONFIGURATION_KIND, CONFIGURATION_NAME
from primroseturn.standins.relay import Relay, run_relay

LOOPBACK = "127.0.0.1"
LINE_BYTES = 65_536
START_LIMIT_S = 20.0
STORE_LIMIT_S = 1.0
# As the platform does after a process has ended.
RESTART_S = 0.3
GRACE_S = 6.0
CENTERS = {"a": "r1", "b": "r1", "c": "r2"}
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
    """A VM: its settings file, its process and its way to the store.

    Attributes
    ----------
    start
        Number of starts of the process so far.
    stopped
        Whether this start of the process was asked to stop.
    """

    def __init__(self, name: str, store: Relay) -> None:
        self.name = name
        self.store = store
        self.ports = {key: choose_port() for key in ("peers", "callers", "readiness")}
        self.process: Process | None = None
        self.start = 0
        self.stopped = False


class SoakTargetProcess:
    """A target's process and the way to it."""

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
        Module that a VM's process runs.
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
        # All that were started, also those that were replaced meanwhile.
        self.processes: list[Process] = []
        self.http = AsyncClient(trust_env=False, timeout=STORE_LIMIT_S)
        self.keys_by_workspace = {"shop": ["shop-1"], "bench": ["bench-1"]}
        self.keys_by_workspace["small"] = ["small-1"]
        self.services_by_kind = {"lookup": "core", "order": "core", "sheet": "docs"}
        self.ending = False

    def open_span(self, name: str) -> Span:
        """Record that something is disturbed from now on."""
        # Without an end yet, for checks that run meanwhile.
        span = Span(name, current_time(), inf)
        self.history.spans.append(span)
        return span

    def close_span(self, span: Span) -> None:
        """Record that something is no longer disturbed."""
        self.history.spans.remove(span)
        self.history.spans.append(span._replace(end=current_time()))

    @asynccontextmanager
    async def disturb(self, *names: str) -> AsyncIterator[None]:
        """Record a time in which VMs, targets or the store are disturbed."""
        spans = [self.open_span(name) for name in names]
        try:
            yield
        finally:
            for span in spans:
                self.close_span(span)

    async def open(self, command: list[str], **options: Any) -> Process:
        """Start a process that ends with the soak at the latest."""
        process = await open_process(command, **options)
        self.processes.append(process)
        return process

    async def run_store(self) -> None:
        """Start the stand-in of the store."""
        command = [sys.executable, "-m", "primroseturn", "standin", "store"]
        process = await self.open(command, stdin=None, stderr=DEVNULL)
        output = BufferedByteReceiveStream(process.stdout)
        with fail_after(START_LIMIT_S):
            line = await output.receive_until(b"\n", LINE_BYTES)
        self.store_port = int(line.split()[-1])
        base_url = f"http://{LOOPBACK}:{self.store_port}"
        self.objects_http = AsyncClient(base_url=base_url, trust_env=False)
        self.objects = ObjectClient(self.objects_http, STORE_LIMIT_S)

    async def set_store(self, **faults: Any) -> None:
        """Replace the faults of the store."""
        url = f"http://{LOOPBACK}:{self.store_port}/control/faults"
        # A store that hangs still takes control calls.
        await self.http.post(url, json=faults)

    async def write(self, kind: str, name: str, value: Any) -> None:
        """Write or delete an object, again until the store has taken it."""
        while True:
            try:
                if value is None:
                    await self.objects.delete(kind, name)
                else:
                    await self.objects.put(kind, name, value, exists=True)
                return
            except StoreUnavailable:
                # The store is away, or its answer was lost; the same is written again.
                await sleep(0.1)

    async def relay_to(self, port: int) -> tuple[Relay, int]:
        """Run a proxy to a port and return it with its own port."""
        relay = Relay(port)
        started: list[int] = []

        async def run() -> None:
            async with run_relay(relay) as own_port:
                started.append(own_port)
                while not self.ending:
                    await sleep(0.2)

        self.tasks.start_soon(run)
        while not started:
            await sleep(0.01)
        return relay, started[0]

    async def add_target(self, service: str) -> SoakTargetProcess:
        """Start a target, list it and keep its entry alive."""
        target_id = f"{service}-{next(self.numbers)}"
        command = [sys.executable, "-m", "features.soak.target", target_id, service]
        process = await self.open(command, stdin=None, stderr=None)
        output = BufferedByteReceiveStream(process.stdout)
        with fail_after(START_LIMIT_S):
            port = int(await output.receive_until(b"\n", LINE_BYTES))
        relay, listed_port = await self.relay_to(port)
        target = SoakTargetProcess(target_id, service, relay)
        target.process, target.port, target.listed_port = process, port, listed_port
        self.targets_by_id[target_id] = target
        self.tasks.start_soon(self.read_runs, output)
        await self.list_target(target, "ready")
        return target

    async def read_runs(self, output: BufferedByteReceiveStream) -> None:
        """Keep what a target prints."""
        try:
            while True:
                line = await output.receive_until(b"\n", LINE_BYTES)
                self.history.runs.append(Run(**json.loads(line)))
        except Exception:
            # The target's process has ended.
            return

    async def list_target(self, target: SoakTargetProcess, state: str) -> None:
        """Write the entry of a target."""
        center = self.random.choice(list(CENTERS))
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
        await self.write("servers", target.id, entry)

    async def add_vm(self, name: str, center: str) -> None:
        """Start a VM and start it again whenever its process ends."""
        relay, port = await self.relay_to(self.store_port)
        vm = self.vms_by_name[name] = SoakVm(name, relay)
        text = BOOT.format(
            vm=name,
            center=center,
            region=CENTERS[center],
            store=port,
            grace=GRACE_S,
            **vm.ports,
        )
        self.settings_of(vm).write_text(text)
        self.tasks.start_soon(self.keep_running, vm)

    def settings_of(self, vm: SoakVm) -> Path:
        """Return the path of a VM's settings file."""
        return self.directory / f"{vm.name}.toml"

    async def keep_running(self, vm: SoakVm) -> None:
        """Run the process of a VM again and again, as the platform does."""
        environment = {**os.environ, "PRIMROSETURN_BOOT": str(self.settings_of(vm))}
        with (self.directory / f"{vm.name}.jsonl").open("ab") as log:
            while not self.ending:
                vm.start += 1
                vm.stopped = False
                command = [sys.executable, "-m", *self.program]
                span = self.open_span(vm.name)
                vm.process = await self.open(
                    command, stdin=None, stdout=log, stderr=log, env=environment
                )
                self.tasks.start_soon(self.note_ready, vm, vm.start, span)
                await vm.process.wait()
                async with self.disturb(vm.name):
                    await sleep(RESTART_S)

    async def note_ready(self, vm: SoakVm, start: int, span: Span) -> None:
        """End the disturbance of a start once the VM is ready."""
        url = f"http://{LOOPBACK}:{vm.ports['readiness']}/primroseturn/ready"
        while vm.start == start and not self.ending:
            try:
                if (await self.http.get(url)).status_code == 200:
                    break
            except HTTPError:
                # It does not listen yet, or has ended again.
                pass
            await sleep(0.05)
        self.close_span(span)

    def signal(self, vm: SoakVm, number: int) -> None:
        """Send a signal to a VM's process if it runs."""
        if vm.process is not None and vm.process.returncode is None:
            vm.process.send_signal(number)

    async def pause(self, vm: SoakVm, seconds: float) -> None:
        """Freeze a VM for some time."""
        async with self.disturb(vm.name):
            self.signal(vm, SIGSTOP)
            await sleep(seconds)
            self.signal(vm, SIGCONT)

    async def kill(self, vm: SoakVm) -> None:
        """End a VM without notice."""
        async with self.disturb(vm.name):
            self.signal(vm, SIGKILL)
            await sleep(RESTART_S)

    async def stop(self, vm: SoakVm) -> None:
        """Ask a VM to stop and kill it when its time is over."""
        process, start, at = vm.process, vm.start, current_time()
        if process is None or process.returncode is not None or vm.stopped:
            return
        vm.stopped = True
        process.send_signal(SIGTERM)
        try:
            with fail_after(GRACE_S):
                await process.wait()
        except TimeoutError:
            self.signal(vm, SIGKILL)
        self.history.stops.append(Stop(vm.name, start, at, current_time()))

    def reload(self, vm: SoakVm) -> None:
        """Change a VM's settings file and tell it."""
        path = self.settings_of(vm)
        path.write_text(path.read_text() + f"# change {next(self.numbers)}\n")
        self.signal(vm, SIGHUP)

    async def publish(self) -> None:
        """Write the configuration under the next version."""
        number = next(self.numbers)
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
        written_at = current_time()
        await self.write(CONFIGURATION_KIND, CONFIGURATION_NAME, document)
        by_key = {
            key: name for name, keys in self.keys_by_workspace.items() for key in keys
        }
        self.history.versions.append(
            Version(
                number,
                written_at,
                current_time(),
                by_key,
                dict(self.services_by_kind),
                {"small": SMALL_RATE},
            )
        )

    async def end(self) -> None:
        """End all processes at once."""
        self.ending = True
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
    """Run a fleet and end all of its processes with the context."""
    async with create_task_group() as tasks:
        fleet = SoakFleet(tasks, directory, seed, program)
        try:
            await fleet.run_store()
            yield fleet
        finally:
            with CancelScope(shield=True):
                await fleet.end()
            tasks.cancel_scope.cancel()
