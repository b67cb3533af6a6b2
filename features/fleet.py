"""A fleet in one process on loopback: store stand-in, targets and daemons."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Any

from anyio import create_task_group, Event, fail_after, sleep
from anyio.abc import TaskGroup, TaskStatus
from httpx import AsyncClient, Response
from msgspec import convert
from msgspec.json import encode

from primroseturn.configuration.keys import create_key
from primroseturn.configuration.log import log_key
from primroseturn.configuration.models import Change, EntryVm, Target
from primroseturn.daemon import run_services
from primroseturn.kernel.kernel import Kernel
from primroseturn.membership.listing import EntryList, TargetList
from primroseturn.serving.asgi import serve_application
from primroseturn.settings.models import DaemonSettings
from primroseturn.standins.store import ObjectStore
from primroseturn.standins.upstream import Upstream


class Fleet:
    """Starts and stops the store, the targets and the daemons of a scenario."""

    def __init__(self, tasks: TaskGroup) -> None:
        self.tasks = tasks
        self.stop_events_by_name: dict[str, tuple[Event, Event]] = {}
        self.store = ObjectStore()
        self.store_port = 0
        self.version = 0
        self.upstreams_by_name: dict[str, Upstream] = {}
        self.targets: list[Target] = []
        self.kernels_by_vm: dict = {}
        self.entry_vms: list[EntryVm] = []
        self.secrets_by_workspace: dict[str, str] = {}
        self.key_ids_by_workspace: dict[str, str] = {}
        self.http = AsyncClient(trust_env=False, timeout=30)

    async def start(self, name: str, context: AbstractAsyncContextManager) -> Any:
        """Run a context in its own task until `stop`, and return its value."""
        stop, stopped = Event(), Event()

        async def run_context(*, task_status: TaskStatus) -> None:
            async with context as value:
                task_status.started(value)
                await stop.wait()
            stopped.set()

        value = await self.tasks.start(run_context)
        self.stop_events_by_name[name] = (stop, stopped)
        return value

    async def stop(self, name: str) -> None:
        """Leave a context that was started with this name."""
        stop, stopped = self.stop_events_by_name.pop(name)
        stop.set()
        await stopped.wait()

    async def stop_all(self) -> None:
        """Leave all contexts, the last started one first."""
        for name in reversed(list(self.stop_events_by_name)):
            await self.stop(name)

    async def wait_ready(self, timeout_s: float = 10.0) -> None:
        """Wait until every daemon has the configuration and a target list."""
        with fail_after(timeout_s):
            for kernel in self.kernels_by_vm.values():
                while kernel.find("replica").state.version < self.version:
                    await sleep(0.01)
                while not kernel.find("listing").targets_by_service:
                    await sleep(0.01)

    async def wait_admitted(self, workspace: str, timeout_s: float = 10.0) -> None:
        """Wait until every daemon admits requests of a workspace."""
        with fail_after(timeout_s):
            for kernel in self.kernels_by_vm.values():
                limits = kernel.find("replica").state.workspaces_by_name[workspace]
                while (await kernel.find("admission").admit(limits, 0.1)).is_error():
                    await sleep(0.01)

    async def add_upstream(self, name: str, service: str, slots: int = 6) -> Upstream:
        """Start a target and add it to the VM list of its service."""
        upstream = Upstream(name, slots)
        port = await self.start(name, serve_application(upstream))
        self.upstreams_by_name[name] = upstream
        url = f"http://127.0.0.1:{port}"
        self.targets.append(Target(name, service, url, "dc1", "region1"))
        self.list_targets(service)
        return upstream

    def list_targets(self, service: str) -> None:
        """Write the VM list of a service to the store."""
        targets = [item for item in self.targets if item.service == service]
        self.store.write(f"vmlist/{service}", encode(TargetList(targets)))

    def list_entry_vms(self) -> None:
        """Write the list of entry VMs to the store."""
        self.store.write("vmlist/entry", encode(EntryList(self.entry_vms)))

    def configure(self, kind: str, name: str, body: dict | None) -> int:
        """Append a change to the configuration log and return its version."""
        self.version += 1
        version = self.version
        change = Change(version, f"test-{version}", "test", kind, name, body)
        self.store.write(log_key(version), encode(change))
        return version

    def add_workspace(self, name: str, rate: float = 1000, burst: float = 1000) -> str:
        """Create a workspace with one caller key and return the key."""
        body = {"name": name, "rate": rate, "burst": burst}
        self.configure("workspace", name, body)
        issued_key = create_key(name)
        stored = issued_key.stored
        body = {field: getattr(stored, field) for field in stored.__struct_fields__}
        self.configure("key", stored.key_id, body)
        self.secrets_by_workspace[name] = issued_key.text
        self.key_ids_by_workspace[name] = stored.key_id
        return issued_key.text

    def daemon_settings(self, vm: str, **sections: dict) -> DaemonSettings:
        """Return the settings of a daemon of this fleet."""
        document = {
            "identity": {"vm": vm, "data_center": "dc1", "region": "region1"},
            "store": {"url": f"http://127.0.0.1:{self.store_port}"},
            "logs": {"events_file": "/dev/null"},
            "callers": {"drain_delay_s": 0.0, "drain_limit_s": 1.0},
            **sections,
        }
        return convert(document, DaemonSettings)

    async def add_daemon(self, vm: str, **sections: dict) -> int:
        """Start a daemon and return its port for callers."""
        settings = self.daemon_settings(vm, **sections)
        kernel = await self.start(vm, run_services(settings))
        self.list_daemon(vm, kernel)
        return kernel.find("callers")

    def list_daemon(self, vm: str, kernel: Kernel) -> None:
        """Add a running daemon to the list of entry VMs."""
        self.kernels_by_vm[vm] = kernel
        entry_vms_by_vm = {item.vm: item for item in self.entry_vms}
        entry_vms_by_vm[vm] = kernel.find("membership").this
        self.entry_vms = list(entry_vms_by_vm.values())
        self.list_entry_vms()

    async def request(
        self, vm: str, method: str, path: str, key: str | None = None, **options
    ) -> Response:
        """Send a request to a daemon and return its response."""
        headers = dict(options.pop("headers", {}))
        if key is not None:
            headers["x-api-key"] = key
        url = f"http://127.0.0.1:{self.kernels_by_vm[vm].find('callers')}{path}"
        return await self.http.request(method, url, headers=headers, **options)


@asynccontextmanager
async def run_fleet() -> AsyncIterator[Fleet]:
    """Run a fleet with a store, to which a scenario adds targets and daemons."""
    async with create_task_group() as tasks:
        fleet = Fleet(tasks)
        async with fleet.http:
            fleet.store_port = await fleet.start(
                "store", serve_application(fleet.store)
            )
            yield fleet
            await fleet.stop_all()
