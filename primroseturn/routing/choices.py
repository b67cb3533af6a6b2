"""What a target is chosen for, and the result of a choice."""

from enum import Enum
from typing import NamedTuple

from primroseturn.routing.models import Target


class RequestTraits(NamedTuple):
    """Properties of a request by which its target is chosen.

    Attributes
    ----------
    kind
        Name under which typical durations are stored, such as the route.
    repeatable
        Whether the request may run more than once (idempotent).
    default_duration_s
        Duration in seconds that is assumed before the first response.
    allowed_regions
        Regions whose targets may get the request; None means all, an empty set none.
    """

    service: str
    kind: str
    repeatable: bool
    download: bool
    default_duration_s: float
    allowed_regions: frozenset[str] | None = None


class NoTargetReason(Enum):
    """Why no target can be used, in the form of the refusal's kind."""

    REGION = "no-target-in-region"
    COLD = "targets-cold"


class Choice(NamedTuple):
    """A target chosen by a `Placement`.

    Attributes
    ----------
    is_suspected_trial
        Whether the attempt is a trial of a suspected target. False for a trial of
        another target, and for a suspected target that was drawn without a trial.
    wait_s
        Expected wait for a slot in seconds.
    """

    target: Target
    is_suspected_trial: bool
    wait_s: float
