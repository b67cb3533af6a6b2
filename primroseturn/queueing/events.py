"""Events of queueing."""

from primroseturn.observation.catalogue import define_event

QUEUE_REFUSED = define_event(
    700, "queue-refused", "A request was refused by the queue."
)
