"""Metrics of configuration and withdrawals."""

from prometheus_client import Gauge, Histogram

VERSION = Gauge("primroseturn_configuration_version", "Version in force.")
WITHDRAWALS = Gauge("primroseturn_withdrawals", "Keys in the set of withdrawn keys.")
# Compares the wall clocks of two VMs, so it is wrong by the offset between them.
CONVERGENCE_SECONDS = Histogram(
    "primroseturn_configuration_convergence_seconds",
    "Time from the acceptance of a change until it is in force here.",
    buckets=(0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 18.0),
)
