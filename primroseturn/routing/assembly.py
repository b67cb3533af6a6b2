"""Puts the decision classes of one VM together, for the daemon and for replay."""

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
    place: Locality,
    profile: Profile,
    floor: float,
    link_bytes_per_s: float,
    random: Random,
    now: float,
) -> Dispatcher:
    """Return a dispatcher with its monitor, ejector, budget and hedging.

    Parameters
    ----------
    link_bytes_per_s
        This VM's share of the metered link.
    """

    def suspect(key: EvidenceKey, score: float, at: float) -> None:
        ejector.eject(key, score, at)

    monitor = HealthMonitor(place.vm, profile, suspect)
    ejector = Ejector(profile, floor, monitor.restart)
    link = MeteredLink(link_bytes_per_s, now)
    balancer = Balancer(listing, ejector, place, link, random)
    hedging = Hedging(balancer.has_free_slots)
    return Dispatcher(balancer, monitor, ejector, RetryBudget(), hedging)
