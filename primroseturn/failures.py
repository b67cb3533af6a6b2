"""Typed failures shared by all subpackages."""

from typing import NamedTuple


class Failure(Exception):
    """Base of all failures that this project raises or returns.

    Attributes
    ----------
    code
        Stable name in refusal bodies, logs and metrics; each subclass sets it.
    """

    code = "failure"


class ServiceMissing(Failure):
    """A kernel service is needed but is not running or not registered."""

    code = "service-missing"

    def __init__(self, name: str) -> None:
        super().__init__(f"kernel service {name!r} is not registered or not running")
        self.name = name


class ServiceCycle(Failure):
    """Kernel services need each other in a cycle."""

    code = "service-cycle"

    def __init__(self, names: list[str]) -> None:
        super().__init__(
            f"kernel services need each other in a cycle: {' -> '.join(names)}"
        )
        self.names = names


class SettingsInvalid(Failure):
    """A settings file is not readable or has an invalid, missing or unknown field."""

    code = "settings-invalid"

    def __init__(self, path: str, value: object, expected: str) -> None:
        super().__init__(f"{path}: got {value!r}, expected {expected}")
        self.path = path
        self.value = value
        self.expected = expected


class StoreUnavailable(Failure):
    """A call to the platform's object API gave no usable result.

    The API did not respond in time or responded with an error, or the call was not made
    because this VM's budget of calls was used up. Also raised when the history that a
    watch needs is gone, when an object that must exist is missing, and when conditional
    writes had too many conflicts.

    Attributes
    ----------
    maybe_applied
        Whether the failed call is a write that may have taken effect.
    waited_s
        Seconds from the start of the call until it had failed.
    was_watch
        Whether the failed call is a watch that got no response. The store may cut
        waiting watches at any time.
    """

    code = "store-unavailable"

    def __init__(
        self,
        operation: str,
        detail: str,
        maybe_applied: bool,
        waited_s: float = 0.0,
        was_watch: bool = False,
    ) -> None:
        super().__init__(f"{operation}: {detail}")
        self.operation = operation
        self.maybe_applied = maybe_applied
        self.waited_s = waited_s
        self.was_watch = was_watch


class VersionConflict(Failure):
    """A conditional write found another version of the object than expected."""

    code = "version-conflict"

    def __init__(self, key: str, expected: int) -> None:
        super().__init__(f"object {key!r} is not at version {expected}")
        self.key = key
        self.expected = expected


class Refusal(NamedTuple):
    """A refusal of a caller's request.

    Attributes
    ----------
    kind
        Stable name of the type of refusal, such as ``rate-exceeded``.
    status
        HTTP status code.
    detail
        One sentence for the caller, without secrets.
    ran
        Whether an upstream ran the request: ``no`` only if no byte of it can have
        reached an upstream that might run it, else ``unknown``.
    retry_after_s
        Value of the header Retry-After in seconds; sent with status 429 and 503.
    reason
        Case of the kind of refusal, for logs; empty if the kind has only one case.
    """

    kind: str
    status: int
    detail: str
    ran: str = "no"
    retry_after_s: float | None = None
    reason: str = ""
