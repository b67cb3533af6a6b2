"""Names that the platform fixes for headers, paths and words."""

# Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "PRIMROSETURN_BOOT"
# Environment variable by which the deploy file states the port of the metrics.
METRICS_VARIABLE = "PRIMROSETURN_METRICS_PORT"

READY_PATH = "/primroseturn/ready"
OBJECTS_PATH = "/primroseturn/objects"

# Kinds of objects. Only the first two are written by others.
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
TARGETS_KIND = "servers"

# Identifies one attempt of a caller; targets echo it.
ATTEMPT_ID = b"attempt-id"
# Milliseconds that the sender still waits.
DEADLINE_MS = b"deadline-ms"
# The target's signature over its answer; a success without it is not the target's.
SIGNATURE = b"response-signature"
# Name of the workspace for which a request runs.
WORKSPACE = b"tenant"
# Id of the target that may run the request; any other answers 421.
EXPECTED_TARGET = b"expect-instance"
# Running requests, waiting requests and slots of a target.
LOAD = b"instance-load"
# Present if the target states that it did not run the request.
NOT_RUN = b"not-executed"
RETRY_AFTER = b"retry-after"
AUTHORIZATION = b"authorization"
KEY_SCHEME = b"bearer "

MISDIRECTED_STATUS = 421
