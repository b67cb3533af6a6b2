"""Counters and gauges of the choice of targets."""

from prometheus_client import Counter, Gauge

ATTEMPTS_BY_DISTANCE = Counter(
    "primroseturn_routing_attempts_total",
    "Attempts by service and distance of the target, where the load is kept even.",
    ("service", "distance"),
)
SPILLOVER_SHARE = Gauge(
    "primroseturn_routing_spillover_ratio",
    "Part of a service's requests that are to leave the data centre or the region.",
    ("service", "distance"),
)
COLD_ATTEMPTS = Counter(
    "primroseturn_routing_cold_attempts_total",
    "Attempts for which this VM chose a cold target, by service.",
    ("service",),
)
COLD_TARGETS = Gauge(
    "primroseturn_routing_cold_targets",
    "Targets that this VM treats as cold, by service, at its last attempt there.",
    ("service",),
)
