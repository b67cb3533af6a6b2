"""Metrics of the queue."""

from prometheus_client import Histogram

QUEUE_SECONDS = Histogram(
    "primroseturn_queue_seconds",
    "Wait of queued requests until a slot or a refusal.",
    buckets=(0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0),
)
