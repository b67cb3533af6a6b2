"""Identifies the workspace of a request by its key."""

from typing import NamedTuple

from expression import Error, Ok, Result

from primroseturn.configuration.keys import verify_key
from primroseturn.configuration.models import Route, Workspace
from primroseturn.configuration.replica import Replica
from primroseturn.failures import Failure
from primroseturn.requestpath.headers import HeaderList, presented_keys

MIN_SECRET_LENGTH = 20
# Limits of all requests on open routes together.
OPEN_WORKSPACE = Workspace("open", rate=1000.0, burst=1000.0)


class KeyRefused(Failure):
    """The request has no valid key."""

    code = "key-refused"

    def __init__(self, reason: str) -> None:
        super().__init__(reason)


class Caller(NamedTuple):
    """Workspace and key of a request. `key_id` is None on open routes."""

    workspace: Workspace
    key_id: str | None


def identify_caller(
    route: Route, headers: HeaderList, replica: Replica
) -> Result[Caller, Failure]:
    """Return the caller of a request to `route`."""
    if route.open:
        return Ok(Caller(OPEN_WORKSPACE, None))
    keys = set(presented_keys(headers))
    if len(keys) != 1:
        reason = "the request needs a key" if not keys else "the request has two keys"
        return Error(KeyRefused(reason))
    key = verify_key(keys.pop(), replica.state.keys_by_id)
    if key is None or replica.is_withdrawn_or_unknown(key.key_id):
        return Error(KeyRefused("the key is not in force"))
    workspace = replica.state.workspaces_by_name.get(key.workspace)
    if workspace is None:
        return Error(KeyRefused("the key's workspace does not exist"))
    return Ok(Caller(workspace, key.key_id))


def secrets_of(headers: HeaderList) -> set[bytes]:
    """Return the presented keys, which no forwarded header may contain.

    Strings shorter than `MIN_SECRET_LENGTH` are left out: they cannot be keys and would
    match unrelated headers.
    """
    keys = presented_keys(headers)
    return {key.encode("latin-1") for key in keys if len(key) >= MIN_SECRET_LENGTH}
