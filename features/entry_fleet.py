"""A fleet of entry VMs on loopback: store, targets and VMs in one process."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from copy import deepcopy
from itertools import count
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from anyio import create_task_group, fail_after, sleep
from httpx import AsyncClient, Limits, Response

import primroseturn.entry.service
import primroseturn.observation.service  # noqa: F401, registers its services
from features.entry_target import EntryTarget, run_target
from features.fleet import Fleet
from primroseturn.entry.process import ENTRY_SERVICES
from primroseturn.kernel.kernel import Kernel, run_kernel
from primroseturn.serving.asgi import serve_application
from primroseturn.settings.entry import EntrySettings, FleetBounds
from primroseturn.settings.models import Address, Identity, LogSettings

HOST = "shop.example"
KEY = "key-of-shop"
LOOPBACK = "127.0.0.1"


def route(name: str, prefix: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route in the form of the operators' configuration."""
    return {
        "name": name,
        "path_prefix": prefix,
        "type": kind,
        "service": "core",
        "timeout_s": 1.5,
        "slo_latency_s": 0.6,
        "priority": 1,
        "attempts": 2,
        "public": False,
        **fields,
    }


class EntryFleet(Fleet):
    """The store, targets and entry VMs of a scenario, by name."""

    def __init__(self, tasks, directory: Path) -> None:
        super().__init__(tasks)
        self.entry_targets_by_id: dict[str, EntryTarget] = {}
        self.entry_ports_by_vm: dict[str, int] = {}
        self.settings_by_vm: dict[str, EntrySettings] = {}
        # Ports through which VMs reach the store, if they differ from the store's own.
        self.store_ports_by_vm: dict[str, int] = {}
        self.numbers = count(1)
        self.directory = directory
        self.log_files_by_vm: dict[str, Path] = {}
        self.configuration: dict[str, Any] = {
            "version": "r1",
            "services": [{"name": "core", "max_conns": 100}],
            "limits": {},
            "tenants": [
                {"name": "shop", "api_keys": [KEY], "rate_per_s": 0, "burst": 0}
            ],
            "virtual_hosts": [
                {
                    "host": HOST,
                    "paths": [
                        route("lookup", "/lookup/", "idempotent"),
                        route("order", "/order/", "non_idempotent"),
                        route("sheet", "/sheet/", "download"),
                        route("open", "/open/", "idempotent", public=True),
                    ],
                }
            ],
        }
        # Each request uses a new connection, as requests of different callers do.
        self.http = AsyncClient(
            trust_env=False, timeout=10, limits=Limits(max_keepalive_connections=0)
        )

    def publish(self) -> None:
        """Write the configuration to the store as the next version."""
        number = int(self.configuration["version"][1:]) + 1
        self.configuration = {**self.configuration, "version": f"r{number}"}
        # The store must keep the version as it is when scenarios change it further.
        self.store.write("config/main", deepcopy(self.configuration))

    def list_target(self, target_id: str, **fields: Any) -> None:
        """Write the entry of a target to the store."""
        port = fields.pop("port", None) or self.entry_targets_by_id[target_id].port
        entry = {
            "service": "core",
            "address": f"{LOOPBACK}:{port}",
            "zone": "a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_s": 0,
            "seq": next(self.numbers),
            "born": 1,
        }
        self.store.write(f"servers/{target_id}", {**entry, **fields})

    async def add_entry_target(self, target_id: str, **fields: Any) -> EntryTarget:
        """Start and list a target."""
        target = await self.start(target_id, run_target(target_id))
        self.entry_targets_by_id[target_id] = target
        self.list_target(target_id, **fields)
        return target

    async def add_entry(self, vm: str, center: str = "a", **bounds: float) -> Kernel:
        """Start an entry VM."""
        return await self.start_entry(self.settings_of(vm, center, **bounds))

    def settings_of(self, vm: str, center: str = "a", **bounds: float) -> EntrySettings:
        """Return the settings of an entry VM."""
        default_bounds = {
            "revoked_key_limit_s": 5.0,
            "stop_limit_s": 2.0,
            "repeat_ratio": 0.2,
            "repeat_window_s": 10.0,
            "repeat_extra": 58.0,
        }
        self.log_files_by_vm[vm] = self.directory / f"{vm}.jsonl"
        store_port = self.store_ports_by_vm.get(vm, self.store_port)
        return EntrySettings(
            identity=Identity(vm, center, "r"),
            logs=LogSettings(events_file=str(self.log_files_by_vm[vm])),
            callers=Address(LOOPBACK, 0),
            readiness=Address(LOOPBACK, 0),
            peers=Address(LOOPBACK, 0),
            metrics=Address(LOOPBACK, 0),
            seed_hosts=(),
            regions_by_data_center={"a": "r", "b": "r"},
            store_url=f"http://{LOOPBACK}:{store_port}",
            reads_per_s=2000,
            writes_per_s=400,
            bounds=FleetBounds(**{**default_bounds, **bounds}),
            is_first_start=True,
        )

    async def start_entry(self, settings: EntrySettings) -> Kernel:
        """Start an entry VM with given settings."""
        vm = settings.identity.vm
        kernel = await self.start(
            vm, run_kernel(ENTRY_SERVICES, {"settings": settings})
        )
        self.kernels_by_vm[vm] = kernel
        self.settings_by_vm[vm] = settings
        self.entry_ports_by_vm[vm] = kernel.find("entry")
        return kernel

    async def wait_entries(self, limit_s: float = 5.0) -> None:
        """Wait until every VM is ready and knows all targets and all VMs."""
        with fail_after(limit_s):
            for kernel in self.kernels_by_vm.values():
                view = kernel.find("view")
                while (
                    kernel.find("entry-readiness").reason() is not None
                    or len(view.targets_by_id) < len(self.entry_targets_by_id)
                    or kernel.find("fleet").size < len(self.kernels_by_vm)
                ):
                    await sleep(0.01)

    async def send_request(
        self,
        path: str,
        vm: str = "vm1",
        method: str = "GET",
        key: str | None = KEY,
        wait_ms: int = 1500,
        **options: Any,
    ) -> Response:
        """Send a caller's request with a new attempt id."""
        headers = self.caller_headers(key, wait_ms) | options.pop("headers", {})
        url = self.url_of(vm, path)
        return await self.http.request(method, url, headers=headers, **options)

    def caller_headers(
        self, key: str | None = KEY, wait_ms: int = 1500
    ) -> dict[str, str]:
        """Return the headers of a request with a new attempt id."""
        headers = {
            "Host": HOST,
            "Attempt-Id": f"attempt-{next(self.numbers)}",
            "Deadline-Ms": str(wait_ms),
        }
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        return headers

    def url_of(self, vm: str, path: str) -> str:
        """Return the URL of a path on a VM."""
        return f"http://{LOOPBACK}:{self.entry_ports_by_vm[vm]}{path}"


@asynccontextmanager
async def run_entry_fleet() -> AsyncIterator[EntryFleet]:
    """Run a fleet with a store, and stop all its parts at the end."""
    with TemporaryDirectory() as name:
        async with run_fleet_in(Path(name)) as fleet:
            yield fleet


@asynccontextmanager
async def run_fleet_in(directory: Path) -> AsyncIterator[EntryFleet]:
    """Run a fleet that writes its logs to a directory, and stop it at the end."""
    async with create_task_group() as tasks:
        fleet = EntryFleet(tasks, directory)
        async with serve_application(fleet.store) as port:
            fleet.store_port = port
            fleet.publish()
            try:
                yield fleet
            finally:
                await fleet.http.aclose()
                await fleet.stop_all()
