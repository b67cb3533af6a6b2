"""Issues and withdraws caller keys."""

from hashlib import sha256
from typing import Any

from msgspec import Struct, to_builtins
from msgspec.structs import replace

from primroseturn.admin.changes import OperationId, submit_change
from primroseturn.admin.credentials import Credential
from primroseturn.admin.events import ADMIN_CHANGE, ADMIN_WITHDRAWAL
from primroseturn.admin.failures import ResourceMissing
from primroseturn.admin.objects import version_of
from primroseturn.admin.results import unwrap
from primroseturn.configuration.keys import create_key, IssuedKey, KEY_PREFIX
from primroseturn.configuration.models import Change
from primroseturn.failures import ServiceMissing
from primroseturn.kernel.kernel import Kernel

KEY_ID_DIGITS = 16


class KeyRequest(Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a call that issues or withdraws a key."""

    operation_id: OperationId
    dry_run: bool = False


def create_key_for_operation(workspace: str, operation_id: str) -> IssuedKey:
    """Create a key whose id is derived from the operation id.

    A repeated operation therefore finds the key that its first attempt stored.
    """
    issued = create_key(workspace)
    digest = sha256(f"{workspace}\0{operation_id}".encode()).hexdigest()
    stored = replace(issued.stored, key_id=digest[:KEY_ID_DIGITS])
    secret = issued.text.split("_", 2)[2]
    return IssuedKey(stored, f"{KEY_PREFIX}_{stored.key_id}_{secret}")


async def issue_key(
    kernel: Kernel, operator: Credential, workspace: str, request: KeyRequest
) -> dict[str, Any]:
    """Create a key and return its id and its secret.

    A repeated operation returns the id without the secret, because only a salted
    hash of it is stored.
    """
    state = kernel.find("replica").state
    issued = create_key_for_operation(workspace, request.operation_id)
    stored = issued.stored
    change = Change(
        state.version,
        request.operation_id,
        operator.name,
        "key",
        stored.key_id,
        to_builtins(stored),
        0,
    )
    store = kernel.find("store")
    accepted = unwrap(await submit_change(store, state, change, request.dry_run))
    # A change that an earlier attempt recorded has the hash of another secret.
    show_secret = not (accepted.repeated or accepted.dry_run)
    if show_secret:
        kernel.find("events").emit(
            ADMIN_CHANGE,
            operator=operator.name,
            kind="key",
            name=stored.key_id,
            workspace=workspace,
            version=accepted.version,
            operation_id=request.operation_id,
            deleted=False,
        )
    response = accepted._asdict()
    response |= {
        "workspace": workspace,
        "secret": issued.text if show_secret else None,
    }
    return response


async def withdraw_key(
    kernel: Kernel, operator: Credential, key_id: str, request: KeyRequest
) -> dict[str, Any]:
    """Withdraw a key permanently.

    The kernel service `withdrawals` forwards the withdrawal to all VMs. If it does
    not run, the withdrawal is appended to the log, and only this daemon refuses the
    key at once.
    """
    replica = kernel.find("replica")
    key = replica.state.keys_by_id.get(key_id)
    if key is None:
        raise ResourceMissing(f"key {key_id!r}")
    response: dict[str, Any] = {"key_id": key_id, "dry_run": request.dry_run}
    if request.dry_run:
        return response
    try:
        withdrawals = kernel.find("withdrawals")
    except ServiceMissing:
        response |= await record_withdrawal(kernel, operator, key_id, request)
    else:
        response |= await withdraw_at_all_vms(withdrawals, operator, key_id, request)
    kernel.find("events").emit(
        ADMIN_WITHDRAWAL,
        operator=operator.name,
        key_id=key_id,
        workspace=key.workspace,
        operation_id=request.operation_id,
    )
    return response


async def record_withdrawal(
    kernel: Kernel, operator: Credential, key_id: str, request: KeyRequest
) -> dict[str, Any]:
    """Append the withdrawal to the log, and refuse the key in this daemon at once."""
    replica = kernel.find("replica")
    state = replica.state
    key = state.keys_by_id[key_id]
    if key.withdrawn:
        return {"state": "recorded", "version": version_of(state, "key", key_id)}
    change = Change(
        state.version,
        request.operation_id,
        operator.name,
        "key",
        key_id,
        to_builtins(replace(key, withdrawn=True)),
        version_of(state, "key", key_id),
    )
    store = kernel.find("store")
    accepted = unwrap(await submit_change(store, state, change, False))
    replica.withdraw(key_id)
    return {"state": "recorded", "version": accepted.version}


async def withdraw_at_all_vms(
    withdrawals: Any, operator: Credential, key_id: str, request: KeyRequest
) -> dict[str, Any]:
    """Withdraw a key at all VMs through the kernel service `withdrawals`."""
    result = await withdrawals.withdraw(key_id, request.operation_id, operator.name)
    return to_builtins(unwrap(result)._asdict())
