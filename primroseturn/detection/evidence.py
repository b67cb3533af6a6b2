"""Evidence on targets: counts of exchanges per target and route class."""

from typing import NamedTuple

from primroseturn.detection.observations import Outcome

# Route class of a key that covers all route classes of a target.
ALL_CLASSES = "*"
FAILED_OUTCOMES = frozenset(
    {Outcome.ERROR, Outcome.RESET, Outcome.STALL, Outcome.CUT, Outcome.TIMEOUT}
)


class EvidenceKey(NamedTuple):
    """Target and route class that evidence is about.

    `route_class` may be `ALL_CLASSES`.
    """

    service: str
    target: str
    route_class: str


class Counts(NamedTuple):
    """Numbers of exchanges, and of those that failed or were late.

    Attributes
    ----------
    failed
        Ended with an error, a reset, a stall, a cut response or a timeout.
    late
        Late or shed exchanges, both signs of overload: the response took longer than
        the late limit, or the request was refused because the target was full.
    very_late
        Late exchanges that took longer than twice the late limit.
    """

    total: int = 0
    failed: int = 0
    late: int = 0
    very_late: int = 0

    def combined_with(self, other: "Counts") -> "Counts":
        """Return the sum of both counts."""
        return Counts(
            self.total + other.total,
            self.failed + other.failed,
            self.late + other.late,
            self.very_late + other.very_late,
        )

    def is_bad(self) -> bool:
        """Return whether any exchange failed or was late."""
        return self.failed > 0 or self.late > 0 or self.very_late > 0


NO_COUNTS = Counts()
