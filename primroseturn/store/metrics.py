"""Metrics of the calls to the store."""

from prometheus_client import Counter, Histogram

STORE_CALLS = Counter(
    "primroseturn_store_calls", "Calls to the store.", ["kind", "result"]
)
STORE_SECONDS = Histogram(
    "primroseturn_store_call_seconds",
    "Time until the store answered, without watches.",
    buckets=(0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5),
)
UNREADABLE_OBJECTS = Counter(
    "primroseturn_store_unreadable_objects",
    "Objects in responses of the store whose names can't be decoded.",
)
