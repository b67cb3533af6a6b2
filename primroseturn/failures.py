"""Typed failures shared by all subpackages."""

from typing import NamedTuple


class Failure(Exception):
    """Base of all failures that this project raises or returns.

    Subclasses set `code`, the stable name that appears in refusal bodies, logs and
    metrics.
    """

    code = "failure"


class ServiceMissing(Failure):
    """A kernel service was looked up but is not running."""

    code = "service-missing"

    def __init__(self, name: str) -> None:
        super().__init__(f"service {name!r} is not running")
        self.name = name


class ServiceCycle(Failure):
    """Kernel services need each other in a cycle."""

    code = "service-cycle"

    def __init__(self, names: list[str]) -> None:
        super().__init__(f"services need each other in a cycle: {' -> '.join(names)}")
        self.names = names


class SettingsInvalid(Failure):
    """A settings file has a wrong, missing or unknown field."""

    code = "settings-invalid"

    def __init__(self, path: str, value: object, expected: str) -> None:
        super().__init__(f"{path}: got {value!r}, expected {expected}")
        self.path = path
        self.value = value
        self.expected = expected


class StoreUnavailable(Failure):
    """The platform's object API did not answer in time or answered an error.

    `maybe_applied` is true when a write may have taken effect.
    """

    code = "store-unavailable"

    def __init__(self, operation: str, detail: str, maybe_applied: bool) -> None:
        super().__init__(f"{operation}: {detail}")
        self.operation = operation
        self.maybe_applied = maybe_applied


class VersionConflict(Failure):
    """A conditional update found another version than expected."""

    code = "version-conflict"

    def __init__(self, key: str, expected: int) -> None:
        super().__init__(f"object {key!r} is not at version {expected}")
        self.key = key
        self.expected = expected


class Refusal(NamedTuple):
    """A truthful refusal of a caller's request.

    Attributes
    ----------
    kind
        Stable type name, such as ``rate-exceeded``.
    status
        HTTP status code.
    detail
        One sentence for the caller, without secrets.
    ran
        ``no`` only if no byte of the request can have reached an upstream that
        might run it, else ``unknown``.
    retry_after_s
        Value of Retry-After in seconds; sent with 429 and 503.
    reason
        Which case of its kind it is, for logs; empty if there is only one.
    """

    kind: str
    status: int
    detail: str
    ran: str = "no"
    retry_after_s: float | None = None
    reason: str = ""
