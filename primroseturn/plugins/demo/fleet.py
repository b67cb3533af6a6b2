"""Small fleet of the demo: store, upstreams and daemons in one process."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, AsyncExitStack
from os import devnull

from msgspec import convert, to_builtins
from msgspec.json import encode

from primroseturn.configuration.keys import create_key
from primroseturn.configuration.log import log_key
from primroseturn.configuration.models import Change, Target
from primroseturn.daemon import run_services
from primroseturn.kernel.kernel import Kernel
from primroseturn.membership.listing import EntryList, TargetList
from primroseturn.serving.asgi import serve_application
from primroseturn.settings.models import DaemonSettings
from primroseturn.standins.store import ObjectStore
from primroseturn.standins.upstream import Upstream

LOCATIONS = (("dc1", "region1"), ("dc2", "region1"), ("dc3", "region2"))
RATES_BY_WORKSPACE = {"catalogue": 400.0, "orders": 200.0, "neighbour": 40.0}
TARGET_COUNTS_BY_SERVICE = {"search": 5, "archive": 2}
ROUTES = (
    {"name": "find", "path_prefix": "/find", "service": "search"},
    {
        "name": "order",
        "path_prefix": "/order",
        "service": "search",
        "methods": ["POST"],
        "repeatable": False,
        "route_class": "order",
    },
    {
        "name": "sheets",
        "path_prefix": "/doc",
        "service": "archive",
        "download": True,
        "route_class": "download",
    },
)


class DemoFleet:
    """Store, upstreams and daemons of the demo, and its configuration.

    Attributes
    ----------
    version
        Version of the last change of the configuration.
    secrets_by_workspace, key_ids_by_workspace
        Whole caller key of each workspace, and the id of that key.
    """

    def __init__(self) -> None:
        self.store = ObjectStore()
        self.store_url = ""
        self.version = 0
        self.upstreams_by_name: dict[str, Upstream] = {}
        self.kernels_by_vm: dict[str, Kernel] = {}
        self.secrets_by_workspace: dict[str, str] = {}
        self.key_ids_by_workspace: dict[str, str] = {}

    def configure(self, kind: str, name: str, body: dict) -> None:
        """Append a change to the log in the store."""
        self.version += 1
        change = Change(self.version, f"demo-{self.version}", "demo", kind, name, body)
        self.store.write(log_key(self.version), encode(change))

    def configure_all(self) -> None:
        """Create services, routes, workspaces and keys."""
        for name in TARGET_COUNTS_BY_SERVICE:
            self.configure("service", name, {"name": name})
        for route in ROUTES:
            self.configure("route", route["name"], route)
        for name, rate in RATES_BY_WORKSPACE.items():
            body = {"name": name, "rate": rate, "burst": rate / 2}
            self.configure("workspace", name, body)
            issued = create_key(name)
            self.configure("key", issued.stored.key_id, to_builtins(issued.stored))
            self.secrets_by_workspace[name] = issued.text
            self.key_ids_by_workspace[name] = issued.stored.key_id

    def urls(self) -> list[str]:
        """Return the base URL at which each daemon serves callers."""
        return [
            f"http://127.0.0.1:{kernel.find('callers')}"
            for kernel in self.kernels_by_vm.values()
        ]


async def add_upstreams(fleet: DemoFleet, stack: AsyncExitStack) -> None:
    """Start the targets of each service and write the target lists."""
    for service, count in TARGET_COUNTS_BY_SERVICE.items():
        targets = []
        for number in range(count):
            name = f"{service}{number + 1}"
            upstream = fleet.upstreams_by_name[name] = Upstream(name)
            port = await stack.enter_async_context(serve_application(upstream))
            location = LOCATIONS[number % len(LOCATIONS)]
            targets.append(Target(name, service, f"http://127.0.0.1:{port}", *location))
        fleet.store.write(f"vmlist/{service}", encode(TargetList(targets)))


async def add_daemons(fleet: DemoFleet, stack: AsyncExitStack) -> None:
    """Start one daemon per data centre and add it to the list of entry VMs."""
    listed = []
    for number, (data_center, region) in enumerate(LOCATIONS, 1):
        vm = f"vm{number}"
        document = {
            "identity": {"vm": vm, "data_center": data_center, "region": region},
            "store": {"url": fleet.store_url},
            "callers": {"drain_delay_s": 0.0, "drain_limit_s": 1.0},
            "logs": {"events_file": devnull},
        }
        settings = convert(document, DaemonSettings)
        kernel = await stack.enter_async_context(run_services(settings))
        fleet.kernels_by_vm[vm] = kernel
        listed.append(kernel.find("membership").this)
        fleet.store.write("vmlist/entry", encode(EntryList(listed)))


@asynccontextmanager
async def run_fleet() -> AsyncIterator[DemoFleet]:
    """Run the fleet until the context ends."""
    fleet = DemoFleet()
    async with AsyncExitStack() as stack:
        port = await stack.enter_async_context(serve_application(fleet.store))
        fleet.store_url = f"http://127.0.0.1:{port}"
        fleet.configure_all()
        await add_upstreams(fleet, stack)
        await add_daemons(fleet, stack)
        yield fleet
