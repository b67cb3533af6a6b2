"""Metrics of claims."""

from prometheus_client import Counter

COMMITS = Counter("primroseturn_claim_commits", "Writes of claim slots.", ["kind"])
CLAIMS = Counter("primroseturn_claims", "Claims by their verdict.", ["verdict"])
