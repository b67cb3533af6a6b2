"""Names that the platform defines: variables, paths, kinds and headers."""

# Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "PRIMROSETURN_BOOT"
# Environment variable by which the deploy file sets the port of the metrics.
METRICS_VARIABLE = "PRIMROSETURN_METRICS_PORT"

READY_PATH = "/primroseturn/ready"
OBJECTS_PATH = "/primroseturn/objects"

# Kinds of objects that other programs write, and the name of the configuration.
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
TARGETS_KIND = "servers"
# Objects named after data centres to whose targets no further requests may be sent.
EVACUATIONS_KIND = "evacuations"

# Number that the store raises by one each time it has come back from an older copy.
STORE_ERA = "store-era"

# Identifies one attempt of a caller; targets echo it.
ATTEMPT_ID = b"attempt-id"
# Milliseconds for which the sender still waits for the response.
DEADLINE_MS = b"deadline-ms"
# The target's signature over its response. A success without it was not sent by the
# target.
SIGNATURE = b"response-signature"
# Name of the workspace for which a request runs; the platform calls it a tenant.
WORKSPACE = b"tenant"
# Id of the target that may run the request; any other target responds with 421.
EXPECTED_TARGET = b"expect-instance"
# Numbers of running requests, queued requests and slots of a target.
LOAD = b"instance-load"
# Present if the target states that it did not run the request.
NOT_RUN = b"not-executed"
RETRY_AFTER = b"retry-after"
# "1" in all responses of a target that is leaving.
LEAVING = b"server-leaving"
AUTHORIZATION = b"authorization"
KEY_SCHEME = b"bearer "

MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
# Statuses by which a refusal states that the request did not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
