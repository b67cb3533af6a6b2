"""Builds the dispatcher and the objects that it uses, for the daemon and replay."""

from random import Random

from primroseturn.detection.evidence import EvidenceKey
from primroseturn.detection.monitor import HealthMonitor
from primroseturn.detection.profiles import Profile
from primroseturn.ejection.ejector import Ejector
from primroseturn.membership.listing import Listing
from primroseturn.retries.budget import RetryBudget
from primroseturn.retries.hedging import Hedging
from primroseturn.routing.balancer import Balancer
from primroseturn.routing.dispatcher import Dispatcher
from primroseturn.routing.link import MeteredLink
from primroseturn.routing.subset import Locality


def assemble_dispatcher(
    listing: Listing,
    locality: Locality,
    profile: Profile,
    floor: float,
    link_bytes_per_s: float,
    random: Random,
    now: float,
) -> Dispatcher:
    """Return a dispatcher with its balancer, monitor, ejector, budget and hedging.

    Parameters
    ----------
    floor
        Fraction of a service's live targets that stays in rotation.
    link_bytes_per_s
        This VM's part of the byte rate of the metered link.
    now
        Monotonic time in seconds.
    """

    def eject_suspect(key: EvidenceKey, suspicion: float, at: float) -> None:
        ejector.eject(key, suspicion, at)

    monitor = HealthMonitor(locality.vm, profile, eject_suspect)
    ejector = Ejector(profile, floor, monitor.clear_evidence)
    link = MeteredLink(link_bytes_per_s, now)
    balancer = Balancer(listing, ejector, locality, link, random)
    hedging = Hedging(balancer.has_spare_local_slots)
    return Dispatcher(balancer, monitor, ejector, RetryBudget(), hedging)
