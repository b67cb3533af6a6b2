"""Kernel service that admits requests by rate and burst."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from random import Random

from primroseturn.clock import MonotonicClock
from primroseturn.configuration.models import Workspace
from primroseturn.configuration.replica import Replica
from primroseturn.control.lookup import find_bus, find_members, registered_services
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.limits.admission import (
    Admission,
    AdmissionDependencies,
    Identity,
    run_admission,
)
from primroseturn.requestpath.identify import OPEN_WORKSPACE
from primroseturn.settings.models import DaemonSettings


def identify(settings: DaemonSettings, incarnation: str) -> Identity:
    """Return the identity of this VM.

    One process at a time can bind a fixed control port, which proves that a
    predecessor has ended. Without a fixed port, each start is treated as another VM.
    """
    vm, address = settings.identity.vm, settings.control.address
    unique = str(address.port) if address.port else f"0/{incarnation}"
    return Identity(vm, f"{vm}@{address.host}:{unique}", incarnation)


def make_workspace_lookup(replica: Replica) -> Callable[[str], Workspace | None]:
    """Return a function that finds a workspace of the configuration in force."""

    def find_workspace(name: str) -> Workspace | None:
        workspace = replica.state.workspaces_by_name.get(name)
        if workspace is None and name == OPEN_WORKSPACE.name:
            return OPEN_WORKSPACE
        return workspace

    return find_workspace


NEEDS = (
    "settings",
    "events",
    "store",
    "replica",
    *registered_services("bus", "membership"),
)


@service("admission", needs=NEEDS)
@asynccontextmanager
async def provide_admission(kernel: Kernel) -> AsyncIterator[Admission]:
    """Provide admission by rate and burst."""
    settings, events = kernel.find("settings"), kernel.find("events")
    replica = kernel.find("replica")
    dependencies = AdmissionDependencies(
        kernel.find("store"),
        find_bus(kernel, events.vm, events.incarnation),
        MonotonicClock(),
        Random(),
        find_members(kernel),
        make_workspace_lookup(replica),
        events,
    )
    identity = identify(settings, events.incarnation)
    async with run_admission(identity, settings.limits, dependencies) as admission:
        replica.subscribe(lambda _: admission.apply_limits())
        yield admission
