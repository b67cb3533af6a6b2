"""Limits what others believe of missing responses.

A response that is missing may be a fault of the target, or of the network path of the
VM that waited for it. A VM whose responses of most targets are missing suspects its own
path and reports nothing. Whatever a VM reports, it counts as one witness for each
target and interval, so that one VM with a faulty path or a fault of its own does not
make all others avoid a target that serves them.

Used by `primroseturn entry`.
"""

from collections import deque
from typing import NamedTuple

# Seconds in which a VM counts as one witness of missing responses of a target.
WITNESS_INTERVAL_S = 3.0
# Seconds of own outcomes by which a VM judges its own path.
OWN_OUTCOMES_S = 2.0
# Least number of targets without responses at which a VM may suspect its own path, and
# their least multiple of the targets that respond.
MIN_TARGETS = 3
MIN_MULTIPLE = 2.0
# Witnesses that are remembered; expired ones are dropped beyond this number.
MAX_WITNESSES = 20_000


class PathOutcome(NamedTuple):
    """Whether a target responded.

    Attributes
    ----------
    at
        Monotonic time in seconds.
    """

    at: float
    target: str
    is_missing: bool


class PathOutcomes:
    """Recent outcomes of this VM's requests, the oldest first."""

    def __init__(self) -> None:
        self.outcomes: deque[PathOutcome] = deque()

    def record(self, outcome: PathOutcome) -> None:
        """Add an outcome and drop those that are too old."""
        self.outcomes.append(outcome)
        while self.outcomes[0].at < outcome.at - OWN_OUTCOMES_S:
            self.outcomes.popleft()

    def is_path_suspected(self) -> bool:
        """Return whether the path is a likelier fault than the targets."""
        missing = {item.target for item in self.outcomes if item.is_missing}
        responding = {item.target for item in self.outcomes if not item.is_missing}
        return len(missing) >= MIN_TARGETS and (
            len(missing) >= MIN_MULTIPLE * len(responding)
        )


class MissingWitnesses:
    """Judges reports of missing responses.

    Attributes
    ----------
    own_path
        Outcomes of this VM.
    accepted_at_by_witness
        When the report of a VM, the first item, about a target, the second one, was
        last accepted, as monotonic time in seconds.
    """

    def __init__(self) -> None:
        self.own_path = PathOutcomes()
        self.accepted_at_by_witness: dict[tuple[str, str], float] = {}

    def record_answer(self, target: str, now: float) -> None:
        """Record that a target has responded to this VM, with whatever status."""
        self.own_path.record(PathOutcome(now, target, False))

    def record_missing(self, target: str, now: float) -> bool:
        """Record a missing response and return whether the target is suspected.

        Otherwise this VM's own path is.
        """
        self.own_path.record(PathOutcome(now, target, True))
        return not self.own_path.is_path_suspected()

    def accept(self, vm: str, target: str, now: float) -> bool:
        """Return whether a report of a VM about a target counts, and record it."""
        known = self.accepted_at_by_witness
        if now - known.get((vm, target), -WITNESS_INTERVAL_S) < WITNESS_INTERVAL_S:
            return False
        if len(known) >= MAX_WITNESSES:
            self.accepted_at_by_witness = known = {
                witness: at
                for witness, at in known.items()
                if now - at < WITNESS_INTERVAL_S
            }
        known[vm, target] = now
        return True
