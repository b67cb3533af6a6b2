"""Events of claims."""

from primroseturn.observation.catalogue import define_event

CLAIM_UNSETTLED = define_event(
    900,
    "claim-unsettled",
    "A release or an outcome is not recorded yet; it is retried.",
)
CLAIM_DROPPED = define_event(
    901, "claim-dropped", "Too many unsettled changes; the oldest was dropped."
)
