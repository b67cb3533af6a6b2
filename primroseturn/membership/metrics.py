"""Metrics of membership."""

from prometheus_client import Gauge

LIVE_DAEMONS = Gauge("primroseturn_live_daemons", "Number of live entry VMs.")
ONE_WAY_LINKS = Gauge(
    "primroseturn_one_way_links",
    "Peers that this VM receives from, but not the other way.",
)
STAMP_AGE_SECONDS = Gauge(
    "primroseturn_stamp_age_seconds", "Age of the newest applied freshness stamp."
)
ISOLATED = Gauge(
    "primroseturn_isolated", "1 while requests with a caller key are refused."
)
