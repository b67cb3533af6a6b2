"""Bus and members of a daemon, also without the services that provide them."""

from collections.abc import Callable, Mapping
from math import inf
from typing import Any

from anyio import current_time

from primroseturn.configuration.models import EntryVm
from primroseturn.control.standalone import BusWithoutPeers
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import entries_by_name

MEMBERS_KEPT_S = 0.5


def registered_services(*names: str) -> tuple[str, ...]:
    """Return those of the names that are registered as services."""
    return tuple(name for name in names if name in entries_by_name)


def find_bus(kernel: Kernel, vm: str, incarnation: str) -> Any:
    """Return the bus of the kernel, or one without peers if there is none."""
    bus = kernel.services_by_name.get("bus")
    return bus if bus is not None else BusWithoutPeers(vm, incarnation)


def find_members(kernel: Kernel) -> Callable[[], Mapping[str, EntryVm]]:
    """Return the function that gives the live VMs; without membership, this one."""
    identity = kernel.find("settings").identity
    entry = EntryVm(identity.vm, "", 0, identity.data_center, identity.region)
    membership = kernel.services_by_name.get("membership")

    kept: dict[str, EntryVm] = {}
    kept_until = -inf

    def live_daemons() -> Mapping[str, EntryVm]:
        # Called per request; going through the whole fleet each time is too slow.
        nonlocal kept, kept_until
        now = current_time()
        if now >= kept_until:
            kept = membership.live_daemons() if membership is not None else {}
            kept = kept or {identity.vm: entry}
            kept_until = now + MEMBERS_KEPT_S
        return kept

    return live_daemons
