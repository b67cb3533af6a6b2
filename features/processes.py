"""A fleet of separate operating system processes on loopback."""

import sys
from contextlib import suppress
from pathlib import Path
from random import SystemRandom
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from typing import Any

from anyio import create_task_group, fail_after, open_process, sleep
from anyio.abc import Process
from anyio.streams.buffered import BufferedByteReceiveStream
from httpx import AsyncClient, HTTPError
from msgspec.json import encode

from primroseturn.configuration.keys import create_key
from primroseturn.configuration.log import log_key
from primroseturn.configuration.models import Change, EntryVm, Target
from primroseturn.membership.listing import EntryList, TargetList
from primroseturn.platform.objects import ObjectClient
from primroseturn.serving.asgi import bind_listener
from primroseturn.store.client import split_key

START_TIMEOUT_S = 20.0
MAX_LINE_BYTES = 4096
# Ports below those that Linux assigns to connections, which are many in some tests.
MIN_PORT, MAX_PORT = 10_000, 32_767


def choose_port() -> int:
    """Return a port that is free now and that the system assigns to nobody else."""
    while True:
        port = SystemRandom().randint(MIN_PORT, MAX_PORT)
        with suppress(OSError), bind_listener("127.0.0.1", port):
            return port


class ProcessFleet:
    """Starts, signals and ends the processes of a fleet, each by its name."""

    def __init__(self, directory: Path, http: AsyncClient) -> None:
        self.directory = directory
        self.http = http
        self.processes_by_name: dict[str, Process] = {}
        self.ports_by_name: dict[str, int] = {}
        self.entry_vms_by_name: dict[str, EntryVm] = {}
        self.targets_by_service: dict[str, list[Target]] = {}
        self.version = 0
        self.secret = ""
        self.key_id = ""

    async def start(self, name: str, *arguments: str) -> int:
        """Start a process and return its port, the last word of its first line."""
        command = [sys.executable, "-m", "primroseturn", *arguments]
        process = await open_process(command, stdin=None, stderr=None)
        self.processes_by_name[name] = process
        output = BufferedByteReceiveStream(process.stdout)
        with fail_after(START_TIMEOUT_S):
            line = await output.receive_until(b"\n", MAX_LINE_BYTES)
        self.ports_by_name[name] = int(line.split()[-1])
        return self.ports_by_name[name]

    def url(self, name: str, path: str = "") -> str:
        """Return the URL of a path at a process."""
        return f"http://127.0.0.1:{self.ports_by_name[name]}{path}"

    async def add_upstream(self, name: str, service: str) -> None:
        """Start a target and add it to the VM list of its service."""
        await self.start(name, "standin", "upstream", "--name", name)
        targets = self.targets_by_service.setdefault(service, [])
        targets.append(Target(name, service, self.url(name), "dc1", "region1"))
        await self.put(f"vmlist/{service}", TargetList(targets))

    async def add_daemon(self, vm: str, **sections: Any) -> None:
        """Start a daemon; if it ran before, with the settings of its first start."""
        file = self.directory / f"{vm}.json"
        if not file.exists():
            control_port = choose_port()
            document = {
                "identity": {"vm": vm, "data_center": "dc1", "region": "region1"},
                "store": {"url": self.url("store"), "call_limit_s": 0.5},
                "control": {"address": {"port": control_port}},
                "callers": {"drain_delay_s": 0.2, "drain_limit_s": 10.0},
                "logs": {"events_file": str(self.directory / f"{vm}.events")},
                **sections,
            }
            file.write_bytes(encode(document))
            entry = EntryVm(vm, "127.0.0.1", control_port, "dc1", "region1")
            self.entry_vms_by_name[vm] = entry
            vms = list(self.entry_vms_by_name.values())
            await self.put("vmlist/entry", EntryList(vms))
        await self.start(vm, "daemon", "--settings", str(file))

    async def put(self, key: str, value: Any) -> None:
        """Create an object in the store, or replace it."""
        text = encode(value).decode("latin-1")
        async with AsyncClient(base_url=self.url("store"), trust_env=False) as http:
            await ObjectClient(http, START_TIMEOUT_S).put(
                *split_key(key), text, exists=False
            )

    async def configure(self, kind: str, name: str, body: dict | None) -> None:
        """Append a change to the configuration log."""
        self.version += 1
        change = Change(self.version, f"c{self.version}", "test", kind, name, body)
        await self.put(log_key(self.version), change)

    async def add_workspace(self, name: str) -> None:
        """Create a workspace with a high rate and one caller key."""
        body = {"name": name, "rate": 5000, "burst": 5000}
        await self.configure("workspace", name, body)
        issued_key = create_key(name)
        stored = issued_key.stored
        body = {field: getattr(stored, field) for field in stored.__struct_fields__}
        await self.configure("key", stored.key_id, body)
        self.secret, self.key_id = issued_key.text, stored.key_id

    async def set_faults(self, name: str, faults: dict) -> None:
        """Replace the faults of a stand-in."""
        url = self.url(name, "/control/faults")
        response = await self.http.post(url, json=faults)
        assert response.status_code == 200, response.text

    async def read_executions(self) -> dict[str, int]:
        """Return the number of executions at all targets for each Idempotency-Key."""
        totals: dict[str, int] = {}
        for targets in self.targets_by_service.values():
            for target in targets:
                response = await self.http.get(f"{target.url}/control/counters")
                for key, count in response.json()["executions_by_key"].items():
                    totals[key] = totals.get(key, 0) + count
        return totals

    async def wait_served(self, vm: str, path: str) -> None:
        """Wait until a daemon responds with 200 to a request of the workspace."""
        with fail_after(START_TIMEOUT_S):
            while True:
                try:
                    response = await self.http.get(
                        self.url(vm, path), headers={"x-api-key": self.secret}
                    )
                    if response.status_code == 200:
                        return
                except HTTPError:
                    pass
                await sleep(0.05)

    def pause(self, name: str) -> None:
        """Pause a process."""
        self.processes_by_name[name].send_signal(SIGSTOP)

    def resume(self, name: str) -> None:
        """Continue a paused process."""
        self.processes_by_name[name].send_signal(SIGCONT)

    async def kill(self, name: str) -> None:
        """Kill a process."""
        process = self.processes_by_name.pop(name)
        process.send_signal(SIGKILL)
        await process.wait()

    async def stop(self, name: str) -> int:
        """Send SIGTERM to a process and return its exit code."""
        process = self.processes_by_name.pop(name)
        process.send_signal(SIGTERM)
        return await process.wait()

    async def stop_all(self) -> None:
        """Kill all processes at the same time."""
        async with create_task_group() as tasks:
            for name in list(self.processes_by_name):
                tasks.start_soon(self.kill, name)
