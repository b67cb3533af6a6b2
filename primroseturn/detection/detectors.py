"""Registry and common interface of failure detectors."""

from collections.abc import Callable
from typing import Protocol, TypeVar

from primroseturn.detection.evidence import Counts, EvidenceKey
from primroseturn.detection.shares import ShareTable


class Detector(Protocol):
    """Turns evidence on targets into suspicion.

    This suspicion is a multiple of the detector's threshold, so it may exceed 1. The
    suspicion in `ejection.suspicion` is a probability.

    Attributes
    ----------
    uses_peer_evidence
        Whether the detector adds the evidence of other VMs (peers) to this VM's own.
    """

    uses_peer_evidence: bool

    def add(self, key: EvidenceKey, source: str, counts: Counts, now: float) -> None:
        """Add evidence on a target that the VM `source` has gathered."""

    def suspicion(self, key: EvidenceKey, now: float) -> float:
        """Return how unhealthy a target looks; it is suspected at 1 or more."""

    def forget(self, key: EvidenceKey) -> None:
        """Drop the evidence on a target."""


Factory = Callable[[float, ShareTable, str], Detector]
F = TypeVar("F", bound=Factory)

factories_by_name: dict[str, Factory] = {}


def detector(name: str) -> Callable[[F], F]:
    """Return a decorator that registers a class under a name.

    The class is called with the threshold, the shares and the name of this VM.
    """

    def register(factory: F) -> F:
        factories_by_name[name] = factory
        return factory

    return register
