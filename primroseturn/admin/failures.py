"""Failures of the administration API and the HTTP statuses of their responses."""

from primroseturn.failures import Failure


class CredentialRefused(Failure):
    """The call carries no valid credential."""

    code = "credential-refused"

    def __init__(self) -> None:
        super().__init__("the call needs a valid bearer token")


class CredentialReadOnly(Failure):
    """The credential does not allow changes."""

    code = "credential-read-only"

    def __init__(self) -> None:
        super().__init__("the credential is read-only")


class ResourceMissing(Failure):
    """The object, kind or path does not exist.

    Attributes
    ----------
    version
        Version of the change that deleted the object, 0 if it never existed. A
        change that creates the object again must expect this version.
    """

    code = "not-found"

    def __init__(self, resource: str, version: int = 0) -> None:
        super().__init__(f"{resource} does not exist")
        self.version = version


class MethodRefused(Failure):
    """The path does not support the method."""

    code = "method-refused"

    def __init__(self, method: str, path: str) -> None:
        super().__init__(f"{path} does not support {method}")


class RequestInvalid(Failure):
    """The body or the query of the call is not valid."""

    code = "request-invalid"

    def __init__(self, reason: str) -> None:
        super().__init__(reason)


class ReferenceInvalid(Failure):
    """The change contradicts other objects; for example, it refers to a missing one."""

    code = "reference-invalid"

    def __init__(self, reason: str) -> None:
        super().__init__(reason)


class CallFailed(Failure):
    """The call failed with an unexpected error, whose type is in the event log."""

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
    """Return the HTTP status of the response to a failed call."""
    return STATUS_BY_CODE.get(failure.code, 500)
