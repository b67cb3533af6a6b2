"""Events of claims."""

from primroseturn.observation.catalogue import define_event

CLAIM_UNSETTLED = define_event(
    900, "claim-unsettled", "A release or an outcome could not be recorded yet."
)
CLAIM_DROPPED = define_event(
    901, "claim-dropped", "Too many unsettled changes; the oldest was given up."
)
