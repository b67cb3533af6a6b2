"""Events of limits."""

from primroseturn.observation.catalogue import define_event

UNITS_CHANGED = define_event(
    800,
    "limit-units-changed",
    "The number of a workspace's units that this VM owns has changed.",
)
SESSION_LOST = define_event(
    801,
    "owner-session-lost",
    "The lease of this VM's units ended; a new session begins.",
)
SESSION_ENDED = define_event(
    802, "owner-session-ended", "This VM released its units in a planned stop."
)
LIMITS_UNAVAILABLE = define_event(
    803, "limits-unavailable", "No owner of a workspace's units could be reached."
)
