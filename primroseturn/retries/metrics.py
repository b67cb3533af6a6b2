"""Metrics of repeats that are judged by their value."""

from prometheus_client import Counter

REPEATS_GRANTED = Counter(
    "primroseturn_repeats_granted_total",
    "Retries and hedges that were sent, by service and rank.",
    ("service", "rank"),
)
REPEATS_DENIED = Counter(
    "primroseturn_repeats_denied_total",
    "Retries and hedges that were denied, by service, rank and reason.",
    ("service", "rank", "reason"),
)
