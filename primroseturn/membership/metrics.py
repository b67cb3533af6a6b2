"""Metrics of membership."""

from prometheus_client import Gauge

LIVE_DAEMONS = Gauge("primroseturn_live_daemons", "Entry VMs that count as live.")
ONE_WAY_LINKS = Gauge(
    "primroseturn_one_way_links",
    "Peers that are heard but do not hear this VM.",
)
STAMP_AGE_SECONDS = Gauge(
    "primroseturn_stamp_age_seconds", "Age of the newest applied freshness stamp."
)
ISOLATED = Gauge("primroseturn_isolated", "1 while keyed requests are refused.")
