"""Checkers for fleets of control planes."""

from anyio import current_time, fail_after, sleep

from primroseturn.configuration.keys import create_key
from primroseturn.kernel.kernel import Kernel
from primroseturn.standins.fleet import ControlFleet

POLL_S = 0.01


class VersionChecker:
    """Notes each configuration version that goes backwards or is skipped to twice."""

    def __init__(self) -> None:
        self.faults: list[str] = []
        self.changes = 0

    def observe(self, vm: str, kernel: Kernel) -> None:
        """Follow the replica of a daemon."""
        replica = kernel.find("replica")
        versions = [replica.state.version]

        def note(state) -> None:
            self.changes += 1
            if state.version <= versions[-1]:
                self.faults.append(f"{vm}: {versions[-1]} then {state.version}")
            versions.append(state.version)

        replica.subscribe(note)


def serves_key(kernel: Kernel, key_id: str) -> bool:
    """Return whether a daemon would serve a request with a key now."""
    if kernel.find("isolation").check(current_time()).is_error():
        return False
    return not kernel.find("replica").is_withdrawn(key_id)


def serving_vms(fleet: ControlFleet, key_id: str) -> list[str]:
    """Return the VMs that would serve a request with a key now."""
    return [
        vm for vm, kernel in fleet.kernels_by_vm.items() if serves_key(kernel, key_id)
    ]


async def wait_until(condition, limit_s: float) -> float:
    """Wait until a condition holds and return how long that took."""
    started = current_time()
    with fail_after(limit_s):
        while not condition():
            await sleep(POLL_S)
    return current_time() - started


async def wait_version(fleet: ControlFleet, version: int, limit_s: float) -> float:
    """Wait until a version is in force at all VMs and return how long that took."""
    return await wait_until(lambda: min(fleet.versions().values()) >= version, limit_s)


def add_key(fleet: ControlFleet, workspace: str) -> str:
    """Create a workspace with a key in the log and return the key's id."""
    body = {"name": workspace, "rate": 10, "burst": 10}
    fleet.configure("workspace", workspace, body)
    stored = create_key(workspace).stored
    fields = {name: getattr(stored, name) for name in stored.__struct_fields__}
    fleet.configure("key", stored.key_id, fields)
    return stored.key_id


def add_workspace(fleet: ControlFleet, name: str) -> int:
    """Append the change that creates a workspace and return its version."""
    return fleet.configure("workspace", name, {"name": name, "rate": 1, "burst": 1})
