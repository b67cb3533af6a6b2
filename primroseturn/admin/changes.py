"""Validates and proposes operators' changes."""

from typing import Annotated, Any, NamedTuple

from expression import Error, Ok, Result
from msgspec import Meta, Struct
from msgspec.json import decode

from primroseturn.admin.failures import (
    MethodRefused,
    ReferenceInvalid,
    RequestInvalid,
    ResourceMissing,
)
from primroseturn.admin.objects import (
    IN_FORCE_NAME,
    items_of,
    PRESET_IN_FORCE,
    require_kind,
    version_of,
)
from primroseturn.configuration.log import (
    ChangeConflict,
    log_key,
    propose_change,
    read_changes,
)
from primroseturn.configuration.models import Change
from primroseturn.configuration.state import (
    ConfigurationState,
    parse_body,
)
from primroseturn.failures import Failure, StoreUnavailable
from primroseturn.store.client import StoreClient

OperationId = Annotated[
    str, Meta(min_length=8, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")
]
Version = Annotated[int, Meta(ge=0)]


class ChangeRequest(Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a call that changes an object.

    Attributes
    ----------
    operation_id
        Chosen by the client; another request with the same id for the same object has
        no further effect.
    expected_version
        Version of the object that the operator has read, 0 for a new object.
    dry_run
        Whether the change is only checked.
    """

    operation_id: OperationId
    expected_version: Version
    body: dict[str, Any] | None = None
    dry_run: bool = False


class AcceptedChange(NamedTuple):
    """Response to an accepted change or, in a dry run, to a valid one.

    Attributes
    ----------
    version
        Version of the change; in a dry run the version that it would get.
    repeated
        Whether an earlier request with the same operation id made the change.
    """

    kind: str
    name: str
    version: int
    operation_id: str
    dry_run: bool = False
    repeated: bool = False


def check_change(state: ConfigurationState, change: Change) -> None:
    """Raise an error if a change is not valid in the state in force.

    Raises
    ------
    ChangeInvalid
        If the body does not fit the kind.
    ReferenceInvalid
        If a referenced object does not exist, the service to delete is used by a
        route, the preset to delete is in force, or another route has the prefix.
    RequestInvalid
        If the name in the body differs from the name of the object.
    ResourceMissing
        If the kind or the object to delete does not exist.
    MethodRefused
        If the change would delete the choice of the preset in force.
    """
    require_kind(change.kind)
    item = parse_body(change)
    if change.kind == PRESET_IN_FORCE:
        if change.name != IN_FORCE_NAME:
            raise RequestInvalid(f"the name must be {IN_FORCE_NAME!r}")
        if item is None:
            raise MethodRefused("DELETE", PRESET_IN_FORCE)
        if item.preset not in state.presets_by_name:
            raise ReferenceInvalid(f"preset {item.preset!r} does not exist")
    elif item is not None and change.kind != "key" and item.name != change.name:
        raise RequestInvalid("the name in the body differs from the name in the path")
    if item is None and change.name not in items_of(state, change.kind):
        raise ResourceMissing(f"{change.kind} {change.name!r}")
    check_references(state, change, item)


def check_references(
    state: ConfigurationState, change: Change, item: Struct | None
) -> None:
    """Raise `ReferenceInvalid` if the change contradicts other objects."""
    if change.kind == "route" and item is not None:
        if item.service not in state.services_by_name:
            raise ReferenceInvalid(f"service {item.service!r} does not exist")
        for route in state.routes_by_name.values():
            is_same = route.path_prefix.rstrip("/") == item.path_prefix.rstrip("/")
            if is_same and route.name != change.name:
                raise ReferenceInvalid(f"route {route.name!r} has the same prefix")
    elif change.kind == "key" and item is not None:
        if item.workspace not in state.workspaces_by_name:
            raise ReferenceInvalid(f"workspace {item.workspace!r} does not exist")
    elif change.kind == "service" and item is None:
        for route in state.routes_by_name.values():
            if route.service == change.name:
                raise ReferenceInvalid(f"route {route.name!r} uses the service")
    elif (
        change.kind == "preset"
        and item is None
        and change.name == state.preset_in_force.name
    ):
        raise ReferenceInvalid("the preset is in force")


async def find_repeated(
    store: StoreClient, last_version: int, recent: list[Change], operation_id: str
) -> Change | None:
    """Return the accepted change that has the operation id, or None.

    Parameters
    ----------
    last_version
        Version of the last change to the object, 0 if there is none.
    recent
        Changes read from the log, in order. They start after the version that the
        operator has read if the replica has a later change of this object, else after
        the replica's version.
    """
    for item in recent:
        if item.operation_id == operation_id:
            return item
    stored = await store.read(log_key(last_version)) if last_version else None
    if stored is None:
        return None
    last_change = decode(stored.value, type=Change)
    return last_change if last_change.operation_id == operation_id else None


async def submit_change(
    store: StoreClient, state: ConfigurationState, change: Change, dry_run: bool
) -> Result[AcceptedChange, Failure]:
    """Check a change and append it to the log, unless it is a dry run.

    Parameters
    ----------
    state
        The configuration in force in this daemon.
    """
    expected = change.expected_version or 0
    last_version = version_of(state, change.kind, change.name)
    # Unless the replica has a change to the object after the expected version, only
    # changes that the replica lacks can conflict or have this operation id.
    read_after_version = expected if last_version > expected else state.version
    try:
        recent = await read_changes(store, read_after_version)
        repeated = await find_repeated(store, last_version, recent, change.operation_id)
    except StoreUnavailable as failure:
        return Error(failure)
    if repeated is not None:
        return resolve_repeated(repeated, change)
    if last_version > expected:
        return Error(ChangeConflict(change.kind, change.name, expected, last_version))
    try:
        check_change(state, change)
    except Failure as failure:
        return Error(failure)
    if dry_run:
        version = (recent[-1].version if recent else state.version) + 1
        return Ok(describe_accepted(change, version, dry_run=True))
    proposed = await propose_change(store, change, recent)
    return proposed.map(lambda item: describe_accepted(item, item.version))


def describe_accepted(
    change: Change, version: int, dry_run: bool = False, repeated: bool = False
) -> AcceptedChange:
    """Return the response to an accepted change."""
    return AcceptedChange(
        change.kind, change.name, version, change.operation_id, dry_run, repeated
    )


def resolve_repeated(
    accepted: Change, change: Change
) -> Result[AcceptedChange, Failure]:
    """Return the response to the change that has the same operation id.

    The reuse of an operation id for another object is refused.
    """
    is_same_object = (accepted.kind, accepted.name) == (change.kind, change.name)
    if not is_same_object:
        reason = f"operation id {change.operation_id!r} was used for another change"
        return Error(RequestInvalid(reason))
    return Ok(describe_accepted(accepted, accepted.version, repeated=True))
