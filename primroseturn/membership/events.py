"""Events of membership and control."""

from primroseturn.observation.catalogue import define_event

LINK_ONE_WAY = define_event(
    500, "link-one-way", "A peer is heard but does not hear this VM."
)
LINK_RESTORED = define_event(
    501, "link-restored", "A link is one-way no longer, or the peer is silent."
)
ISOLATED = define_event(
    502, "isolated", "Keyed requests are refused: the fleet is not heard."
)
REJOINED = define_event(503, "rejoined", "Keyed requests are served again.")
