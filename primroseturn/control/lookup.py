"""Returns a kernel's bus and live VMs, or substitutes if their services do not run."""

from collections.abc import Callable, Mapping
from math import inf
from typing import Any

from anyio import current_time

from primroseturn.configuration.models import EntryVm
from primroseturn.control.standalone import BusWithoutPeers
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import entries_by_name

MEMBERS_CACHE_S = 0.5


def registered_services(*names: str) -> tuple[str, ...]:
    """Return the given names that are registered as kernel services."""
    return tuple(name for name in names if name in entries_by_name)


def find_bus(kernel: Kernel, vm: str, incarnation: str) -> Any:
    """Return the bus of the kernel, or a bus without peers if none runs."""
    bus = kernel.services_by_name.get("bus")
    return bus if bus is not None else BusWithoutPeers(vm, incarnation)


def find_members(kernel: Kernel) -> Callable[[], Mapping[str, EntryVm]]:
    """Return a function that returns the live VMs by name.

    Without the kernel service ``membership``, this VM is the only one.
    """
    identity = kernel.find("settings").identity
    own_entry = EntryVm(identity.vm, "", 0, identity.data_center, identity.region)
    membership = kernel.services_by_name.get("membership")

    cached: dict[str, EntryVm] = {}
    cached_until = -inf

    def live_daemons() -> Mapping[str, EntryVm]:
        # Called for each request; listing the whole fleet each time is too slow.
        nonlocal cached, cached_until
        now = current_time()
        if now >= cached_until:
            cached = membership.live_daemons() if membership is not None else {}
            cached = cached or {identity.vm: own_entry}
            cached_until = now + MEMBERS_CACHE_S
        return cached

    return live_daemons
