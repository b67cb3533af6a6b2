"""Checks and helpers for control fleets, which run control planes only."""

from anyio import current_time, fail_after, sleep

from primroseturn.configuration.keys import create_key
from primroseturn.kernel.kernel import Kernel
from primroseturn.standins.fleet import ControlFleet

POLL_INTERVAL_S = 0.01


class VersionChecker:
    """Records each configuration version that does not increase.

    Attributes
    ----------
    faults
        Descriptions of versions that are not higher than the one before.
    changes
        Number of new versions that were observed.
    """

    def __init__(self) -> None:
        self.faults: list[str] = []
        self.changes = 0

    def observe(self, vm: str, kernel: Kernel) -> None:
        """Check all further versions of a daemon's replica."""
        replica = kernel.find("replica")
        versions = [replica.state.version]

        def record_version(state) -> None:
            self.changes += 1
            if state.version <= versions[-1]:
                self.faults.append(f"{vm}: {versions[-1]} then {state.version}")
            versions.append(state.version)

        replica.subscribe(record_version)


def accepts_key(kernel: Kernel, key_id: str) -> bool:
    """Return whether a daemon would currently accept a request with a key."""
    if kernel.find("isolation").check(current_time()).is_error():
        return False
    return not kernel.find("replica").is_withdrawn_or_unknown(key_id)


def accepting_vms(fleet: ControlFleet, key_id: str) -> list[str]:
    """Return the names of the VMs that would currently accept a request with a key."""
    return [
        vm for vm, kernel in fleet.kernels_by_vm.items() if accepts_key(kernel, key_id)
    ]


async def wait_until(condition, timeout_s: float) -> float:
    """Wait until a condition holds, and return the time in seconds that this took."""
    started_at = current_time()
    with fail_after(timeout_s):
        while not condition():
            await sleep(POLL_INTERVAL_S)
    return current_time() - started_at


async def wait_version(fleet: ControlFleet, version: int, timeout_s: float) -> float:
    """Wait until a version is in force at all VMs, and return the time in seconds."""
    return await wait_until(
        lambda: min(fleet.versions().values()) >= version, timeout_s
    )


def add_key(fleet: ControlFleet, workspace: str) -> str:
    """Create a workspace and a key of it in the log, and return the id of the key."""
    body = {"name": workspace, "rate": 10, "burst": 10}
    fleet.configure("workspace", workspace, body)
    stored = create_key(workspace).stored
    fields = {name: getattr(stored, name) for name in stored.__struct_fields__}
    fleet.configure("key", stored.key_id, fields)
    return stored.key_id


def add_workspace(fleet: ControlFleet, name: str) -> int:
    """Create a workspace in the log, and return the version of the change."""
    return fleet.configure("workspace", name, {"name": name, "rate": 1, "burst": 1})
