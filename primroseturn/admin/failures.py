"""Typed failures of the administration API and their HTTP statuses."""

from primroseturn.failures import Failure


class CredentialRefused(Failure):
    """The call has no valid credential."""

    code = "credential-refused"

    def __init__(self) -> None:
        super().__init__("the call needs a valid bearer token")


class CredentialReadOnly(Failure):
    """The credential does not allow changes."""

    code = "credential-read-only"

    def __init__(self) -> None:
        super().__init__("the credential is read-only")


class ResourceMissing(Failure):
    """No such object, kind or path.

    `version` is the version at which an object was deleted, 0 if it never was; it
    is the expected version of a change that creates the object again.
    """

    code = "not-found"

    def __init__(self, what: str, version: int = 0) -> None:
        super().__init__(f"{what} does not exist")
        self.version = version


class MethodRefused(Failure):
    """The path does not support the method."""

    code = "method-refused"

    def __init__(self, method: str, path: str) -> None:
        super().__init__(f"{path} does not support {method}")


class RequestInvalid(Failure):
    """The call's body or query is not valid."""

    code = "request-invalid"

    def __init__(self, reason: str) -> None:
        super().__init__(reason)


class ReferenceInvalid(Failure):
    """The change would leave a reference to an object that does not exist."""

    code = "reference-invalid"

    def __init__(self, reason: str) -> None:
        super().__init__(reason)


class CallFailed(Failure):
    """The call met an unexpected error; the event log names its type."""

    code = "internal-error"

    def __init__(self) -> None:
        super().__init__("the call failed; see event 1004 of the daemon")


STATUS_BY_CODE = {
    "request-invalid": 400,
    "credential-refused": 401,
    "credential-read-only": 403,
    "not-found": 404,
    "method-refused": 405,
    "change-conflict": 409,
    "change-invalid": 422,
    "reference-invalid": 422,
    "store-unavailable": 503,
    "change-in-doubt": 504,
}


def status_of(failure: Failure) -> int:
    """Return the HTTP status of a failure."""
    return STATUS_BY_CODE.get(failure.code, 500)
