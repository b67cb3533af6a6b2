"""Counters and histograms of an entry VM."""

from prometheus_client import Counter, Histogram

OUTCOMES = Counter(
    "primroseturn_entry_requests_total",
    "Requests of callers by outcome and service.",
    ("outcome", "service"),
)
REQUEST_SECONDS = Histogram(
    "primroseturn_entry_request_seconds",
    "Time from a request's arrival to its whole answer.",
    ("service",),
    buckets=(0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0),
)
