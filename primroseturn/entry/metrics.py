"""Counters and histograms of an entry VM."""

from prometheus_client import Counter, Gauge, Histogram

from primroseturn.limits.quota import RateRefusal

OUTCOMES = Counter(
    "primroseturn_entry_requests_total",
    "Requests of callers by outcome and service.",
    ("outcome", "service"),
)
RATE_REFUSALS = Counter(
    "primroseturn_entry_rate_refusals_total",
    "Requests refused for the rate of their workspace, by reason.",
    ("reason",),
)
for reason in RateRefusal:
    # Creates the counter, which is then exported as 0 until the first refusal.
    RATE_REFUSALS.labels(reason.value)
SKIPPED_ENTRIES = Counter(
    "primroseturn_entry_skipped_entries_total",
    "Invalid entries in lists of targets and in their changes, by reason.",
    ("reason",),
)
SKIPPED_EVACUATIONS = Counter(
    "primroseturn_entry_skipped_evacuations_total",
    "Invalid evacuations of data centres in the store, by reason.",
    ("reason",),
)
EVACUATED = Gauge(
    "primroseturn_entry_evacuated",
    "Whether a data centre is evacuated in this VM's view: 1, or 0.",
    ("data_center",),
)
INVALID_ERAS = Counter(
    "primroseturn_entry_invalid_store_eras_total",
    "Answers of the store whose era can't be read or is older than a known one.",
    ("reason",),
)
INVALID_STATEMENTS = Counter(
    "primroseturn_entry_invalid_statements_total",
    "Headers in which targets state something of themselves that can't be used.",
    ("header",),
)
INVALID_FIELDS = Counter(
    "primroseturn_entry_invalid_fields_total",
    "Values of the configuration that were replaced by safe ones, by reason.",
    ("reason",),
)
REQUEST_SECONDS = Histogram(
    "primroseturn_entry_request_seconds",
    "Time from a request's arrival to its whole answer.",
    ("service",),
    buckets=(0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0),
)
VIEW_AGE_SECONDS = Histogram(
    "primroseturn_entry_view_age_seconds",
    "Age that the configuration had reached when it was confirmed again, by source.",
    ("source",),
    buckets=(0.5, 0.75, 1.0, 1.25, 1.5, 1.75, 2.0, 2.5, 3.0, 4.4, 10.0),
)
MEMORY_BYTES = Gauge(
    "primroseturn_entry_memory_bytes",
    "Bytes that connections and requests under way may hold, and that they hold.",
    ("kind",),
)
EVICTIONS = Counter(
    "primroseturn_entry_evictions_total",
    "Requests without progress and idle connections, ended for want of memory.",
    ("phase",),
)
