"""Chooses a target for a request by power of two choices.

Source: M. Mitzenmacher, "The power of two choices in randomized load balancing",
2001.

Used by `primroseturn daemon`.
"""

from collections.abc import Collection
from math import exp
from random import Random
from typing import NamedTuple

from expression import Error, Ok, Result

from primroseturn.configuration.models import Target
from primroseturn.detection.observations import Observation, Outcome
from primroseturn.ejection.ejector import Ejector
from primroseturn.failures import Failure
from primroseturn.membership.listing import Listing
from primroseturn.routing.link import MeteredLink
from primroseturn.routing.slots import assign_slots, BorrowLimit
from primroseturn.routing.subset import choose_subset, Locality, Tiers

DEFAULT_SLOTS = 6
# Time constant with which a reported load loses its weight, because reports lag.
REPORT_TIME_CONSTANT_S = 1.0
# Weight of a reported load. With more weight all VMs would send their requests to the
# targets that a report shows as idle, although it may be old when it arrives.
REPORT_WEIGHT = 0.2
# Time constant with which observed latencies and failures lose their weight.
STATISTICS_TIME_CONSTANT_S = 1.0
# Weight of one exchange in the moving averages of latency and failures.
LATENCY_WEIGHT = 0.1
# Extra cost of a target that fails all requests, as a multiple of its cost without
# failures.
FAILURE_PENALTY = 4.0
MIN_LATENCY_S = 0.001


class NoCapacity(Failure):
    """No target of the service can get the request now."""

    code = "no-capacity"

    def __init__(self, service: str) -> None:
        super().__init__(f"no target of service {service!r} has capacity")


class Choice(NamedTuple):
    """A target chosen by a `Balancer`.

    Attributes
    ----------
    trial_scope
        Route class, or `ALL_CLASSES`, of the ejection for which the request is a trial;
        None if the request is no trial.
    """

    target: Target
    trial_scope: str | None = None


class LoadReport(NamedTuple):
    """Load that a target reported.

    Attributes
    ----------
    peer_load
        Number of requests of other VMs at the target, times `REPORT_WEIGHT`.
    at
        Monotonic time in seconds at which the report arrived.
    """

    peer_load: float
    at: float


class TargetStatistics:
    """Moving averages of latency and failures of this VM's exchanges with a target."""

    def __init__(self) -> None:
        self.latency_s = 0.0
        self.failed_fraction = 0.0
        self.at = 0.0

    def add(self, latency_s: float, failed: bool, now: float) -> None:
        """Update the moving averages with an exchange that ended at `now`."""
        self.at = now
        if self.latency_s == 0.0:
            self.latency_s = latency_s
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
        self.failed_fraction += LATENCY_WEIGHT * (failed - self.failed_fraction)

    def cost(self, now: float) -> float:
        """Return the cost of one request in seconds, by latency and failures.

        Old averages are discounted, so that a target that looked bad gets requests
        again and there is new evidence on it.
        """
        remaining = exp((self.at - now) / STATISTICS_TIME_CONSTANT_S)
        latency = max(self.latency_s * remaining, MIN_LATENCY_S)
        return latency * (1.0 + FAILURE_PENALTY * self.failed_fraction * remaining)


class Balancer:
    """Chooses targets by this VM's requests in flight and by their reported load."""

    def __init__(
        self,
        listing: Listing,
        ejector: Ejector,
        locality: Locality,
        link: MeteredLink,
        random: Random,
    ) -> None:
        self.listing = listing
        self.ejector = ejector
        self.locality = locality
        self.link = link
        self.random = random
        self.slots_by_service: dict[str, int] = {}
        self.in_flight_by_target: dict[str, int] = {}
        self.assigned_by_service: dict[str, dict[str, int]] = {}
        self.borrow_limits_by_service: dict[str, BorrowLimit] = {}
        self.statistics_by_target: dict[str, TargetStatistics] = {}
        self.load_reports_by_target: dict[str, LoadReport] = {}
        self.tiers_by_service: dict[str, Tiers] = {}
        # Services whose subset is recomputed at their next request.
        self.stale_services: set[str] = set()

    def recompute_subset(self, service: str) -> None:
        """Recompute the subset of a service after its targets or the VMs changed."""
        self.stale_services.discard(service)
        listed = self.listing.targets_by_service.get(service, {})
        live = [item for item in listed.values() if item.state == "live"]
        center = self.locality.data_center
        local = [item.name for item in live if item.data_center == center]
        vms = {
            item.vm
            for item in self.listing.daemons_by_vm.values()
            if item.state == "live" and item.data_center == center
        } | {self.locality.vm}
        slots = self.slots_of(service)
        assigned = assign_slots(self.locality.vm, vms, local, slots)
        self.assigned_by_service[service] = assigned
        total = slots * max(1, len(live))
        maximum = max(2.0, total / max(1, len(vms)))
        if service not in self.borrow_limits_by_service:
            self.borrow_limits_by_service[service] = BorrowLimit(maximum)
        self.borrow_limits_by_service[service].maximum = maximum
        with_own_slots = set(assigned)
        self.tiers_by_service[service] = choose_subset(
            self.locality, live, with_own_slots
        )

    def slots_of(self, service: str) -> int:
        """Return the number of slots that each target of a service has."""
        return self.slots_by_service.get(service, DEFAULT_SLOTS)

    def set_slots(self, slots_by_service: dict[str, int]) -> None:
        """Set the configured slots per target, by service."""
        if slots_by_service == self.slots_by_service:
            return
        self.slots_by_service = slots_by_service
        for service in self.tiers_by_service:
            self.recompute_subset(service)

    def choose(
        self,
        service: str,
        route_class: str,
        now: float,
        excluded: Collection[str] = (),
        repeatable: bool = True,
        download: bool = False,
    ) -> Result[Choice, Failure]:
        """Return the target that should get the next request.

        Parameters
        ----------
        excluded
            Names of targets that were tried already.
        repeatable
            Whether the request is idempotent and may be a trial of an ejected target.
        download
            Whether the request is a download, which gets less of the metered link.
        """
        if service in self.stale_services:
            self.recompute_subset(service)
        tiers = self.tiers_by_service.get(service)
        if tiers is None:
            return Error(NoCapacity(service))
        if repeatable:
            trial = self.choose_trial(service, route_class, now, tiers, excluded)
            if trial is not None:
                return Ok(trial)
        ejections = self.ejector.ejections_of(service, route_class)
        unavailable = ejections.keys() | set(excluded)
        local_pair = self.draw_pair(tiers.local, now, unavailable, borrow=False)
        if local_pair:
            return Ok(Choice(min(local_pair, key=lambda item: self.cost(item, now))))
        if (
            self.borrowed_slots(service, tiers)
            >= self.borrow_limits_by_service[service].limit
        ):
            return Error(NoCapacity(service))
        for tier in tiers:
            pair = self.draw_pair(tier, now, unavailable, borrow=True)
            if not pair:
                continue
            if tier is tiers.metered and not self.link.consume(download, now):
                continue
            return Ok(Choice(min(pair, key=lambda item: self.cost(item, now))))
        return Error(NoCapacity(service))

    def draw_pair(
        self,
        tier: tuple[Target, ...],
        now: float,
        unavailable: Collection[str],
        borrow: bool,
    ) -> list[Target]:
        """Return up to two random targets of a tier that can get a request.

        Parameters
        ----------
        unavailable
            Names of targets that are ejected or excluded.
        borrow
            Whether this VM may borrow a slot at a target.
        """
        pair: list[Target] = []
        for item in self.random.sample(tier, len(tier)):
            if item.name not in unavailable and self.has_free_slot(item, borrow):
                pair.append(item)
                if len(pair) == 2:
                    break
        return pair

    def choose_trial(
        self,
        service: str,
        route_class: str,
        now: float,
        tiers: Tiers,
        excluded: Collection[str],
    ) -> Choice | None:
        """Return a trial of an ejected target, or None if there is none.

        The target is due for a trial, in the local or region tier, and not excluded.
        """
        key = self.ejector.due_trial_key(service, route_class, now)
        if key is None or key.target in excluded:
            return None
        for tier in (tiers.local, tiers.region):
            for item in tier:
                if item.name == key.target:
                    return Choice(item, key.route_class)
        return None

    def has_target(self, service: str, excluded: Collection[str] = ()) -> bool:
        """Return whether the subset has a target that is not excluded."""
        tiers = self.tiers_by_service.get(service, Tiers((), (), ()))
        return any(item.name not in excluded for tier in tiers for item in tier)

    def has_spare_local_slots(self, service: str) -> bool:
        """Return whether this VM has a free slot in its data centre for a hedge."""
        tiers = self.tiers_by_service.get(service, Tiers((), (), ()))
        local_names = {item.name for item in tiers.local}
        assigned = self.assigned_by_service.get(service, {})
        used = sum(self.in_flight_of(name) for name in local_names)
        return used < sum(assigned.values())

    def has_free_slot(self, target: Target, borrow: bool) -> bool:
        """Return whether this VM may send one more request to a target."""
        assigned = self.assigned_by_service[target.service].get(target.name, 0)
        max_in_flight = min(assigned + borrow, self.slots_of(target.service))
        return self.in_flight_of(target.name) < max_in_flight

    def borrowed_slots(self, service: str, tiers: Tiers) -> int:
        """Return the number of slots in use beyond those assigned to this VM."""
        assigned = self.assigned_by_service[service]
        return sum(
            max(0, self.in_flight_of(item.name) - assigned.get(item.name, 0))
            for tier in tiers
            for item in tier
        )

    def cost(self, target: Target, now: float) -> float:
        """Return the relative cost of a request at a target.

        It grows with the target's load, latency and failures.
        """
        slots = self.slots_of(target.service)
        statistics = self.statistics_by_target.get(target.name)
        load = self.in_flight_of(target.name) + 1.0
        report = self.load_reports_by_target.get(target.name)
        if report is not None:
            load += report.peer_load * exp((report.at - now) / REPORT_TIME_CONSTANT_S)
        ramp = self.ejector.load_fraction(target.service, target.name, now)
        cost = MIN_LATENCY_S if statistics is None else statistics.cost(now)
        return load * cost / (slots * ramp)

    def in_flight_of(self, target: str) -> int:
        """Return this VM's requests in flight at a target."""
        return self.in_flight_by_target.get(target, 0)

    def start_request(self, target: str) -> None:
        """Count a request in flight at a target."""
        self.in_flight_by_target[target] = self.in_flight_of(target) + 1

    def finish_request(self, target: str) -> None:
        """Stop counting a request as in flight at a target."""
        left = self.in_flight_of(target) - 1
        if left > 0:
            self.in_flight_by_target[target] = left
        else:
            self.in_flight_by_target.pop(target, None)

    def record_load(self, target: str, busy: float, at: float) -> None:
        """Record the load of other VMs, from the busy slots that a target reported."""
        peer_load = REPORT_WEIGHT * max(0.0, busy - self.in_flight_of(target))
        self.load_reports_by_target[target] = LoadReport(peer_load, at)

    def observe(self, observation: Observation, late: bool = False) -> None:
        """Update the borrow limit and the target's statistics after an exchange.

        A late or shed response lowers the limit, so that in an overload requests
        wait in the fair queue and not at the targets.
        """
        target = observation.target
        limit = self.borrow_limits_by_service.get(observation.service)
        overloaded = late or observation.outcome is Outcome.SHED
        if limit is not None and overloaded:
            limit.decrease(observation.at)
        if observation.outcome is Outcome.SHED:
            return
        is_ok = observation.outcome is Outcome.OK
        if is_ok and not late and limit is not None:
            limit.increase()
        statistics = self.statistics_by_target.get(target)
        if statistics is None:
            statistics = self.statistics_by_target[target] = TargetStatistics()
        statistics.add(observation.first_byte_s, not is_ok, observation.at)

    def forget(self, targets: set[str]) -> None:
        """Drop the statistics of targets that are no longer listed."""
        for target in targets:
            self.statistics_by_target.pop(target, None)
            self.load_reports_by_target.pop(target, None)
