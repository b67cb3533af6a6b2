"""Metrics of the admission under load."""

from prometheus_client import Counter, Gauge

DECISIONS = Counter(
    "primroseturn_admission_decisions_total",
    "Requests by service, rank and decision; one that waited is counted again later.",
    ("service", "rank", "decision"),
)
REFUSALS = Counter(
    "primroseturn_admission_refusals_total",
    "Requests that were refused under load, by service, rank and reason.",
    ("service", "rank", "reason"),
)
LEVEL = Gauge(
    "primroseturn_admission_level",
    "Threshold level of a service at the last decision; 0 while nothing is withheld.",
    ("service",),
)
INVALID_RANKS = Counter(
    "primroseturn_admission_invalid_ranks_total",
    "Ranks in the configuration that were clamped, by what was wrong with them.",
    ("problem",),
)
LIMITED_REPORTS = Counter(
    "primroseturn_admission_limited_reports_total",
    "Reports of other VMs left out, as one VM reports no more than its requests give.",
    ("kind",),
)
