"""Events of configuration and keys."""

from primroseturn.observation.catalogue import define_event

STORE_REACHED = define_event(
    400, "store-reached", "This VM can read the change log in the store."
)
STORE_LOST = define_event(
    401, "store-lost", "This VM can no longer read the change log in the store."
)
CHANGE_UNREADABLE = define_event(
    402, "change-unreadable", "An object in the store could not be decoded."
)
SNAPSHOT_WRITTEN = define_event(
    403, "snapshot-written", "A snapshot was written to the store."
)
KEY_WITHDRAWN = define_event(
    404, "key-withdrawn", "A key was withdrawn through this VM."
)
WITHDRAWAL_RECORDED = define_event(
    405, "withdrawal-recorded", "A withdrawal was recorded in the change log."
)
CONFIGURATION_INSTALLED = define_event(
    406,
    "configuration-installed",
    "A starting VM has installed the configuration of a peer.",
)
