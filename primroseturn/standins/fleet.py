"""Runs the control planes of many daemons in one process.

They exchange messages over a network in memory or over TCP.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, AsyncExitStack
from importlib import import_module
from random import Random
from typing import Any

from anyio import create_task_group, Event
from anyio.abc import TaskGroup, TaskStatus
from httpx import (
    ASGITransport,
    AsyncBaseTransport,
    AsyncClient,
    ConnectError,
    Request,
    Response,
)
from msgspec import convert
from msgspec.json import encode

from primroseturn.configuration.log import log_key
from primroseturn.configuration.models import Change, EntryVm
from primroseturn.control.zeromq import run_bus
from primroseturn.kernel.kernel import Kernel, run_kernel
from primroseturn.membership.listing import EntryList
from primroseturn.observation.events import EventLog
from primroseturn.settings.models import DaemonSettings
from primroseturn.standins.network import MemoryNetwork
from primroseturn.standins.store import ObjectStore
from primroseturn.store.client import create_client

CONTROL_SERVICES = ("configuration", "withdrawals", "isolation")
CONTROL_MODULES = (
    "primroseturn.configuration.service",
    "primroseturn.membership.service",
)


class StoreLink(AsyncBaseTransport):
    """Connection of one VM to the store stand-in in the same process.

    While `is_cut` is true, the VM cannot reach the store: calls fail as they do when no
    connection can be opened.
    """

    def __init__(self, store: ObjectStore) -> None:
        self.store_transport = ASGITransport(store, raise_app_exceptions=False)
        self.is_cut = False
        self.call_count = 0

    async def handle_async_request(self, request: Request) -> Response:
        """Forward a call unless the VM cannot reach the store."""
        self.call_count += 1
        if self.is_cut:
            raise ConnectError("this VM cannot reach the store")
        return await self.store_transport.handle_async_request(request)


class VmLocation:
    """Names of the data centre and the region of the n-th VM of a fleet."""

    def __init__(
        self, number: int, region_count: int, data_centers_per_region: int
    ) -> None:
        self.region = f"region{number % region_count + 1}"
        center = number // region_count % data_centers_per_region + 1
        self.data_center = f"{self.region}-dc{center}"


class ControlFleet:
    """Runs the control planes of a fleet and its store.

    Attributes
    ----------
    network
        Network that carries the control messages, or None for TCP.
    stops_by_vm
        Event that stops a VM, and event that is set when it has stopped.
    entry_vms_by_name
        VMs that `list_entry_vms` lists, also those that were removed.
    version
        Version of the newest change of the configuration.
    """

    def __init__(
        self, tasks: TaskGroup, network: MemoryNetwork | None, seed: int
    ) -> None:
        self.tasks = tasks
        self.network = network
        self.random = Random(seed)
        self.store = ObjectStore()
        self.kernels_by_vm: dict[str, Kernel] = {}
        self.store_links_by_vm: dict[str, StoreLink] = {}
        self.stops_by_vm: dict[str, tuple[Event, Event]] = {}
        self.entry_vms_by_name: dict[str, EntryVm] = {}
        self.start_count = 0
        self.version = 0

    async def add(self, vm: str, location: VmLocation, **sections: dict) -> Kernel:
        """Start the control plane of a VM without writing the list of entry VMs."""
        document = {
            "identity": {
                "vm": vm,
                "data_center": location.data_center,
                "region": location.region,
            },
            "store": {"url": "http://store"},
            **sections,
        }
        settings = convert(document, DaemonSettings)
        stop, stopped = Event(), Event()

        async def run_until_stopped(*, task_status: TaskStatus) -> None:
            async with self.run_daemon(settings) as kernel:
                task_status.started(kernel)
                await stop.wait()
            stopped.set()

        if self.network is not None:
            self.network.regions_by_vm[vm] = location.region
        kernel = await self.tasks.start(run_until_stopped)
        self.kernels_by_vm[vm] = kernel
        self.stops_by_vm[vm] = (stop, stopped)
        self.entry_vms_by_name[vm] = kernel.find("membership").this
        return kernel

    @asynccontextmanager
    async def run_daemon(self, settings: DaemonSettings) -> AsyncIterator[Kernel]:
        """Run the control plane of one VM."""
        vm = settings.identity.vm
        self.start_count += 1
        events = EventLog(vm, f"start{self.start_count}")
        link = self.store_links_by_vm[vm] = StoreLink(self.store)
        async with AsyncExitStack() as stack:
            http = AsyncClient(base_url=settings.store.url, transport=link)
            await stack.enter_async_context(http)
            provided: dict[str, Any] = {
                "settings": settings,
                "events": events,
                "store": create_client(http, settings.store),
            }
            if self.network is None:
                bus = run_bus(vm, events.incarnation)
                provided["bus"] = await stack.enter_async_context(bus)
            else:
                provided["bus"] = self.network.join(vm, events.incarnation)
            yield await stack.enter_async_context(
                run_kernel(CONTROL_SERVICES, provided)
            )

    async def add_many(
        self,
        count: int,
        region_count: int = 2,
        data_centers_per_region: int = 2,
        **sections: dict,
    ) -> None:
        """Start and list VMs, spread over regions and their data centres."""
        for number in range(count):
            name = f"vm{number + 1:03d}"
            await self.add(
                name,
                VmLocation(number, region_count, data_centers_per_region),
                **sections,
            )
        self.list_entry_vms()

    async def remove(self, vm: str) -> None:
        """Stop a VM but keep it in the list of VMs, as after a crash."""
        stop, stopped = self.stops_by_vm.pop(vm)
        if self.network is not None:
            self.network.leave(vm)
        stop.set()
        await stopped.wait()
        del self.kernels_by_vm[vm]

    async def remove_all(self) -> None:
        """Stop all VMs."""
        for vm in list(self.stops_by_vm):
            await self.remove(vm)

    def list_entry_vms(self) -> None:
        """Write the list of entry VMs."""
        vms = list(self.entry_vms_by_name.values())
        self.store.write("vmlist/entry", encode(EntryList(vms)))

    def configure(self, kind: str, name: str, body: dict | None) -> int:
        """Append a change to the log in the store and return its version."""
        self.version += 1
        change = Change(self.version, f"c{self.version}", "test", kind, name, body)
        self.store.write(log_key(self.version), encode(change))
        return self.version

    def versions(self) -> dict[str, int]:
        """Return the configuration version in force at each VM."""
        return {
            vm: kernel.find("replica").state.version
            for vm, kernel in self.kernels_by_vm.items()
        }


@asynccontextmanager
async def run_control_fleet(
    seed: int = 1, in_memory: bool = True
) -> AsyncIterator[ControlFleet]:
    """Run a fleet of control planes until the context ends.

    Parameters
    ----------
    in_memory
        Whether messages go over a network in memory instead of TCP.
    """
    for module in CONTROL_MODULES:
        import_module(module)
    async with create_task_group() as tasks:
        network = MemoryNetwork(tasks, seed) if in_memory else None
        fleet = ControlFleet(tasks, network, seed)
        try:
            yield fleet
        finally:
            await fleet.remove_all()
            tasks.cancel_scope.cancel()
