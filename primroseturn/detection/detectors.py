"""Registry of failure detectors and their common interface."""

from collections.abc import Callable
from typing import Protocol, TypeVar

from primroseturn.detection.evidence import Counts, EvidenceKey
from primroseturn.detection.shares import ShareTable


class Detector(Protocol):
    """Turns evidence on targets into suspicion.

    Attributes
    ----------
    pools
        Whether the detector uses the evidence of other VMs.
    """

    pools: bool

    def add(self, key: EvidenceKey, source: str, counts: Counts, now: float) -> None:
        """Take evidence that `source` (a VM) has gathered on a target."""

    def suspicion(self, key: EvidenceKey, now: float) -> float:
        """Return how unhealthy a target looks; from 1 on it should be ejected."""

    def forget(self, key: EvidenceKey) -> None:
        """Drop what is known of a target."""


Factory = Callable[[float, ShareTable, str], Detector]
F = TypeVar("F", bound=Factory)

factories_by_name: dict[str, Factory] = {}


def detector(name: str) -> Callable[[F], F]:
    """Register the decorated class, called with threshold, shares and own VM."""

    def register(factory: F) -> F:
        factories_by_name[name] = factory
        return factory

    return register
