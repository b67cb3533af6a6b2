"""Records of what callers, targets and the operator did during a soak."""

from typing import NamedTuple


class SentRequest(NamedTuple):
    """One request of a caller and how it ended.

    Attributes
    ----------
    attempt
        Id of the request, from its header ``Attempt-Id``.
    kind
        Name of its route: ``lookup``, ``order`` or ``sheet``.
    start
        Number of the start of the VM's process.
    sent_at, ended_at
        Monotonic times in seconds.
    status
        None if the connection ended without a complete response.
    has_connected
        Whether the connection was opened, so that the request may have been sent.
    is_complete
        Whether the body and the signature are those of this request.
    """

    attempt: str
    kind: str
    vm: str
    start: int
    key: str
    sent_at: float
    ended_at: float
    status: int | None
    has_connected: bool
    is_complete: bool


class Execution(NamedTuple):
    """A request that a target started to run.

    Attributes
    ----------
    at
        Monotonic time in seconds.
    attempt
        Id of the request (see `SentRequest`).
    is_key_forwarded
        Whether the target received the caller's key.
    """

    at: float
    attempt: str
    service: str
    target: str
    workspace: str | None
    is_key_forwarded: bool
    request_line: str


class Version(NamedTuple):
    """A version of the configuration.

    Attributes
    ----------
    written_at, stored_at
        Monotonic times in seconds before and after the store accepted it.
    """

    number: int
    written_at: float
    stored_at: float
    workspaces_by_key: dict[str, str]
    services_by_kind: dict[str, str]
    rates_by_workspace: dict[str, float]


class Disturbance(NamedTuple):
    """A time in which a VM, the targets or the store were disturbed.

    Attributes
    ----------
    subject
        Name of a VM, ``targets`` or ``store``.
    start, end
        Monotonic times in seconds; `end` is infinite as long as the disturbance lasts.
    """

    subject: str
    start: float
    end: float


class Stop(NamedTuple):
    """A planned stop of a VM, from SIGTERM until its process has ended.

    Attributes
    ----------
    start
        Number of the start of the VM's process.
    at, ended_at
        Monotonic times in seconds.
    """

    vm: str
    start: int
    at: float
    ended_at: float


class History:
    """All records of one soak, in the order in which they were added."""

    def __init__(self) -> None:
        self.sent: list[SentRequest] = []
        self.executions: list[Execution] = []
        self.versions: list[Version] = []
        self.disturbances: list[Disturbance] = []
        self.stops: list[Stop] = []
        # Times at which the store had accepted that a target is draining.
        self.draining_at_by_target: dict[str, float] = {}

    def executions_by_attempt(self) -> dict[str, list[Execution]]:
        """Return the executions of each request."""
        by_attempt: dict[str, list[Execution]] = {}
        for execution in self.executions:
            by_attempt.setdefault(execution.attempt, []).append(execution)
        return by_attempt

    def is_undisturbed(self, subjects: set[str], start: float, end: float) -> bool:
        """Return whether none of the subjects was disturbed between two times."""
        return not any(
            disturbance.subject in subjects
            and disturbance.start < end
            and disturbance.end > start
            for disturbance in self.disturbances
        )
