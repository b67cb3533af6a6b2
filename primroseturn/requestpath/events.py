"""Events of the request path, numbers 200 to 299."""

from primroseturn.observation.catalogue import define_event

REQUEST_FINISHED = define_event(
    200, "request-finished", "A complete response was sent."
)
REQUEST_REFUSED = define_event(201, "request-refused", "A request was refused.")
REQUEST_BROKEN = define_event(
    202, "request-broken", "A response that had started could not be completed."
)
ATTEMPT_FAILED = define_event(
    203, "attempt-failed", "An exchange with a target failed."
)
ANSWER_RESUMED = define_event(
    204,
    "answer-resumed",
    "A cut-off download was resumed by a Range request.",
)
CONNECTION_SILENT = define_event(
    205, "connection-silent", "An old connection to a target delivered no response."
)
CALLER_GONE = define_event(206, "caller-gone", "A caller left before its response.")
OUTCOME_NOT_RECORDED = define_event(
    207, "outcome-not-recorded", "The outcome of an operation was not recorded."
)
REQUEST_FAILED = define_event(
    208, "request-failed", "An internal error ended a request."
)
REQUEST_HEDGED = define_event(
    209, "request-hedged", "A late request was also sent to a second target."
)
