"""Metrics of limits. The label values do not depend on the workspaces."""

from prometheus_client import Counter

ADMISSIONS = Counter(
    "primroseturn_admissions", "Requests decided by rate and burst.", ["result"]
)
LOANS = Counter("primroseturn_loans", "Loans by what happened to them.", ["action"])
INVALID_LIMITS = Counter(
    "primroseturn_entry_invalid_limits_total",
    "Workspaces in versions of the configuration without valid limits, by problem.",
    ("problem",),
)
