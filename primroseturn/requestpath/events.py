"""Events of the request path, numbers 200 to 299."""

from primroseturn.observation.catalogue import define_event

REQUEST_FINISHED = define_event(200, "request-finished", "A request was answered.")
REQUEST_REFUSED = define_event(201, "request-refused", "A request was refused.")
REQUEST_BROKEN = define_event(
    202, "request-broken", "A started answer could not be completed."
)
ATTEMPT_FAILED = define_event(
    203, "attempt-failed", "An exchange with a target failed."
)
ANSWER_RESUMED = define_event(
    204, "answer-resumed", "A cut download was continued by Range."
)
CONNECTION_SILENT = define_event(
    205, "connection-silent", "An old connection to a target gave no answer."
)
CALLER_GONE = define_event(206, "caller-gone", "A caller left before its answer.")
OUTCOME_NOT_RECORDED = define_event(
    207, "outcome-not-recorded", "The outcome of an operation was not stored."
)
REQUEST_FAILED = define_event(
    208, "request-failed", "An internal error ended a request."
)
REQUEST_HEDGED = define_event(
    209, "request-hedged", "A late request was sent to a second target."
)
