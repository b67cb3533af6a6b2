"""Proposes and reads changes in the ordered change log in the store."""

from time import time

from expression import Error, Ok, Result
from msgspec.json import decode, encode
from msgspec.structs import replace

from primroseturn.configuration.models import Change
from primroseturn.failures import Failure, StoreUnavailable, VersionConflict
from primroseturn.store.client import StoreClient

LOG_PREFIX = "config/log/"
MAX_ATTEMPTS = 20


class ChangeConflict(Failure):
    """The object was changed after the version that the operator stated."""

    code = "change-conflict"

    def __init__(self, kind: str, name: str, expected: int, found: int) -> None:
        super().__init__(
            f"{kind} {name!r} is at version {found}, not at version {expected}"
        )
        self.expected = expected
        self.found = found


class ChangeInDoubt(Failure):
    """It is unknown whether the store accepted the change."""

    code = "change-in-doubt"

    def __init__(self, operation_id: str) -> None:
        super().__init__(
            f"operation {operation_id}: the store did not answer; "
            "repeat it with the same operation id"
        )
        self.operation_id = operation_id


def log_key(version: int) -> str:
    """Return the store key of a change; keys sort by version."""
    return f"{LOG_PREFIX}{version:012d}"


async def read_changes(store: StoreClient, after_version: int) -> list[Change]:
    """Read all changes after a version, in order."""
    objects = await store.list_objects(LOG_PREFIX, log_key(after_version))
    return [decode(item.value, type=Change) for item in objects]


async def propose_change(
    store: StoreClient, change: Change, known_changes: list[Change]
) -> Result[Change, Failure]:
    """Append a change to the log.

    Parameters
    ----------
    change
        The proposed change. It gets the version after the last known change or, if
        none is known, the version after the one that it states.
    known_changes
        Known changes of the log, in order. They must include each change of this object
        after `change.expected_version`, so that conflicts are found. Later changes are
        read from the store if the next version is already taken.

    Returns
    -------
    Result
        The accepted change, which may be one of an earlier attempt with the same
        operation id, or the failure.
    """
    for _ in range(MAX_ATTEMPTS):
        accepted = next(
            (
                item
                for item in known_changes
                if item.operation_id == change.operation_id
            ),
            None,
        )
        if accepted:
            return Ok(accepted)
        conflict = find_conflict(change, known_changes)
        if conflict:
            return Error(conflict)
        version = known_changes[-1].version + 1 if known_changes else change.version + 1
        numbered = replace(change, version=version, at_unix_s=time())
        try:
            await store.create(log_key(version), encode(numbered))
            return Ok(numbered)
        except VersionConflict:
            pass
        except StoreUnavailable as failure:
            if not failure.maybe_applied:
                return Error(failure)
        try:
            known_changes = known_changes + await read_changes(store, version - 1)
        except StoreUnavailable:
            return Error(ChangeInDoubt(change.operation_id))
    return Error(ChangeInDoubt(change.operation_id))


def find_conflict(change: Change, known_changes: list[Change]) -> ChangeConflict | None:
    """Return the conflict with a later change of the same object, if any."""
    if change.expected_version is None:
        return None
    for item in known_changes:
        is_same_object = (item.kind, item.name) == (change.kind, change.name)
        if is_same_object and item.version > change.expected_version:
            return ChangeConflict(
                change.kind, change.name, change.expected_version, item.version
            )
    return None
