"""Status of a daemon for operators; a decorator registers its sections."""

from collections.abc import Callable
from inspect import isawaitable
from typing import Any

from anyio import current_time, move_on_after

from primroseturn.failures import Failure
from primroseturn.kernel.kernel import Kernel
from primroseturn.store.client import StoreClient

Section = Callable[[Kernel], Any]
STORE_TIMEOUT_S = 1.0

sections_by_name: dict[str, Section] = {}


def status_section(name: str) -> Callable[[Section], Section]:
    """Add the decorated function as a section of the status.

    The function gets the kernel, may be a coroutine function, and returns a value
    that JSON can represent. If it raises a `Failure`, for example because a kernel
    service does not run, the section states the code of the failure.
    """

    def register(section: Section) -> Section:
        sections_by_name[name] = section
        return section

    return register


async def read_status(kernel: Kernel) -> dict[str, Any]:
    """Return all sections of the status."""
    status: dict[str, Any] = {}
    for name, section in sections_by_name.items():
        try:
            value = section(kernel)
            status[name] = await value if isawaitable(value) else value
        except Failure as failure:
            status[name] = {"unavailable": failure.code}
    return status


@status_section("identity")
def describe_identity(kernel: Kernel) -> dict[str, Any]:
    """Return the name, incarnation, data centre and region of this VM."""
    identity = kernel.find("settings").identity
    return {
        "vm": identity.vm,
        "incarnation": kernel.find("events").incarnation,
        "data_center": identity.data_center,
        "region": identity.region,
    }


@status_section("configuration")
def describe_configuration(kernel: Kernel) -> dict[str, Any]:
    """Return the version and the preset in force, and the numbers of objects."""
    state = kernel.find("replica").state
    return {
        "version": state.version,
        "preset_in_force": state.preset_in_force.name,
        "workspaces": len(state.workspaces_by_name),
        "keys": len(state.keys_by_id),
        "routes": len(state.routes_by_name),
        "services": len(state.services_by_name),
        "withdrawn_keys": len(kernel.find("replica").operations_by_withdrawn_key),
    }


@status_section("targets")
def describe_targets(kernel: Kernel) -> dict[str, dict[str, int]]:
    """Return the number of listed targets by service and state."""
    counts: dict[str, dict[str, int]] = {}
    for service, targets in kernel.find("listing").targets_by_service.items():
        counts_by_state = counts[service] = {"live": 0, "leaving": 0}
        for target in targets.values():
            counts_by_state[target.state] += 1
    return counts


@status_section("readiness")
def describe_readiness(kernel: Kernel) -> dict[str, Any]:
    """Return whether the daemon is ready, and whether it drains."""
    readiness = kernel.find("readiness")
    reasons = readiness.reasons()
    return {
        "ready": not reasons,
        "draining": readiness.draining,
        "reasons": reasons,
    }


@status_section("store")
async def describe_store(kernel: Kernel) -> dict[str, Any]:
    """Return whether the store responds now, and the duration of the call."""
    store: StoreClient = kernel.find("store")
    started_at = current_time()
    reachable = False
    with move_on_after(STORE_TIMEOUT_S):
        await store.read("config/probe")
        reachable = True
    return {"reachable": reachable, "latency_s": current_time() - started_at}
