"""What callers, targets and operators saw during a soak."""

from typing import NamedTuple


class Sent(NamedTuple):
    """One attempt of a caller and how it ended.

    Attributes
    ----------
    start
        Number of the start of the VM's process.
    sent_at, ended_at
        Monotonic times in seconds.
    status
        None if the connection ended without a whole answer.
    opened
        Whether there was a connection, so that the request was sent.
    whole
        Whether body and signature are those of this attempt.
    """

    attempt: str
    kind: str
    vm: str
    start: int
    key: str
    sent_at: float
    ended_at: float
    status: int | None
    opened: bool
    whole: bool


class Run(NamedTuple):
    """A request that a target began to run."""

    at: float
    attempt: str
    service: str
    target: str
    workspace: str | None
    key_passed: bool
    line: str


class Version(NamedTuple):
    """A version of the configuration.

    Attributes
    ----------
    written_at, stored_at
        When it was sent to the store and when the store had taken it.
    """

    number: int
    written_at: float
    stored_at: float
    workspaces_by_key: dict[str, str]
    services_by_kind: dict[str, str]
    rates_by_workspace: dict[str, float]


class Span(NamedTuple):
    """A time in which something was disturbed; `what` names a VM, or the store."""

    what: str
    start: float
    end: float


class Stop(NamedTuple):
    """A SIGTERM of a VM until the end of its process."""

    vm: str
    start: int
    at: float
    ended_at: float


class History:
    """All records of one soak, in order of time."""

    def __init__(self) -> None:
        self.sent: list[Sent] = []
        self.runs: list[Run] = []
        self.versions: list[Version] = []
        self.spans: list[Span] = []
        self.stops: list[Stop] = []
        # When the store had taken that a target leaves, by target.
        self.left_at_by_target: dict[str, float] = {}

    def runs_by_attempt(self) -> dict[str, list[Run]]:
        """Return the runs of each attempt."""
        found: dict[str, list[Run]] = {}
        for run in self.runs:
            found.setdefault(run.attempt, []).append(run)
        return found

    def is_calm(self, names: set[str], start: float, end: float) -> bool:
        """Return whether nothing of these names was disturbed between two times."""
        return not any(
            span.what in names and span.start < end and span.end > start
            for span in self.spans
        )
