"""Events of the administration API."""

from primroseturn.observation.catalogue import define_event

ADMIN_STARTED = define_event(
    1000, "admin-started", "The administration API serves operators."
)
ADMIN_CHANGE = define_event(
    1001, "admin-change", "An operator's change was accepted (audit entry)."
)
ADMIN_REFUSED = define_event(
    1002, "admin-refused", "A call to the administration API was refused."
)
ADMIN_WITHDRAWAL = define_event(
    1003, "admin-withdrawal", "An operator withdrew a key (audit entry)."
)
ADMIN_FAILED = define_event(
    1004,
    "admin-failed",
    "An unexpected error ended a call to the administration API.",
)
