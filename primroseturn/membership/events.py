"""Events of membership and control."""

from primroseturn.observation.catalogue import define_event

LINK_ONE_WAY = define_event(
    500,
    "link-one-way",
    "This VM receives from a peer that does not receive from this VM.",
)
LINK_RESTORED = define_event(
    501, "link-restored", "A link is no longer one-way, or the peer is unresponsive."
)
ISOLATED = define_event(
    502,
    "isolated",
    "Requests with a caller key are refused: this VM cannot prove that its set of "
    "withdrawn keys is up to date (see the reason).",
)
REJOINED = define_event(503, "rejoined", "Requests with a caller key are served again.")
