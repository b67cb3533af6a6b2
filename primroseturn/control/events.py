"""Events of control messages, numbers 1200 to 1299."""

from primroseturn.observation.catalogue import define_event

MESSAGE_REFUSED = define_event(
    1200,
    "control-message-refused",
    "An arriving control message is not used; at most one line per reason and 5 s.",
)
