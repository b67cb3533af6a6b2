"""Events of control messages, numbers 1200 to 1299."""

from primroseturn.observation.catalogue import define_event

MESSAGE_REFUSED = define_event(
    1200,
    "control-message-refused",
    "A received control message was refused; at most one line per reason every 5 s.",
)
