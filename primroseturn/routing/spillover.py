"""Decides how many of a data centre's requests other data centres serve.

All VMs of a data centre learn the same demand from the outcomes in digests, so each
sends the same share of its requests away. The share follows the demand, not the queues:
it rises continuously before queues grow, and does not oscillate with late reports. It
takes `now` and does no I/O.
"""

from math import exp
from typing import NamedTuple

from primroseturn.routing.load_estimate import (
    RateEstimate,
    relative_error,
    ServiceDurations,
)

# Load per slot above the region's mean, as a fraction of it, up to which a data centre
# keeps its requests, and the multiple of the rates' standard error that is added.
MARGIN = 0.03
ERROR_MARGIN = 0.2
# Load per slot up to which downloads stay in the data centre, since their bytes are
# paid by volume between data centres.
DOWNLOAD_KEPT_LOAD = 0.75
# Load per slot of the whole region above which requests leave it. Above it waits for a
# slot exceed the latency between regions.
REGION_KEPT_LOAD = 0.85
DOWNLOAD_REGION_KEPT_LOAD = 1.0
# Weight of one report in the load of other regions, and the time constant with which it
# is forgotten, so that a region without room gets few attempts.
FAR_LOAD_WEIGHT = 0.2
FAR_LOAD_TIME_CONSTANT_S = 5.0
# Age in seconds of the last outcome from other data centres from which their demand is
# trusted less, and the time over which that trust ends.
TRUSTED_AGE_S = 0.6
DISTRUST_TIME_S = 1.0


class Shares(NamedTuple):
    """Parts of the requests that leave the data centre and the region."""

    near: float
    far: float


class ServiceDemand:
    """Attempts per second for a service by the VMs of this region.

    Attributes
    ----------
    local, near
        Attempts of the VMs of this data centre, and of the region's other ones.
    far_load, far_load_at
        Load per slot of targets in other regions by their responses to this region, and
        the monotonic time in seconds of the last report.
    """

    def __init__(self) -> None:
        self.durations = ServiceDurations()
        self.local = RateEstimate()
        self.near = RateEstimate()
        self.far_load = 0.0
        self.far_load_at = 0.0

    def record_far_load(self, load_per_slot: float, now: float) -> None:
        """Record the load that a target of another region has reported."""
        known = self.far_load_per_slot(now)
        self.far_load = known + FAR_LOAD_WEIGHT * (load_per_slot - known)
        self.far_load_at = max(self.far_load_at, now)

    def far_load_per_slot(self, now: float) -> float:
        """Return the load per slot in other regions, which is forgotten with time."""
        age_s = max(0.0, now - self.far_load_at)
        return self.far_load * exp(-age_s / FAR_LOAD_TIME_CONSTANT_S)

    def shares(
        self,
        local_slots: float,
        near_slots: float,
        far_slots: float,
        is_download: bool,
        now: float,
    ) -> Shares:
        """Return the parts of the requests that are to leave the data centre.

        Parameters
        ----------
        local_slots, near_slots, far_slots
            Slots in this data centre, in the region's others and in other regions that
            are likely to serve requests, weighted by the speed of their targets.
        """
        region_slots = local_slots + near_slots
        if region_slots <= 0:
            return Shares(0.0, 1.0)
        local_per_s = self.local.per_s(now)
        duration_s = self.durations.mean_s
        near_per_s = self.near_per_s(local_per_s, local_slots, near_slots, now)
        total_per_s = local_per_s + near_per_s
        region_load = total_per_s * duration_s / region_slots
        kept_in_region = DOWNLOAD_REGION_KEPT_LOAD if is_download else REGION_KEPT_LOAD
        far = max(0.0, 1.0 - kept_in_region / region_load) if region_load else 0.0
        if far_slots <= 0:
            far = 0.0
        elif far:
            far *= min(1.0, max(0.0, 2.0 * (1.0 - self.far_load_per_slot(now))))
        if near_slots <= 0 or local_slots <= 0:
            return Shares((1.0 - far) * (local_slots <= 0), far)
        margin = MARGIN + ERROR_MARGIN * relative_error(local_per_s)
        kept_load = (1.0 + margin) * region_load
        if is_download:
            kept_load = max(kept_load, DOWNLOAD_KEPT_LOAD)
        local_load = local_per_s * duration_s / local_slots
        near = max(0.0, 1.0 - kept_load / local_load) if local_load else 0.0
        return Shares((1.0 - far) * near, far)

    def near_per_s(
        self, local_per_s: float, local_slots: float, near_slots: float, now: float
    ) -> float:
        """Return the demand of the other data centres.

        Without recent outcomes from them, it is assumed to be at least as high per slot
        as here, so that lost digests do not send requests away.
        """
        known_per_s = self.near.per_s(now)
        age_s = now - self.near.at - TRUSTED_AGE_S
        distrust = min(1.0, max(0.0, age_s / DISTRUST_TIME_S))
        if not distrust or not local_slots:
            return known_per_s
        assumed_per_s = max(known_per_s, local_per_s * near_slots / local_slots)
        return known_per_s + distrust * (assumed_per_s - known_per_s)
