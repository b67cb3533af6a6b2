"""Chooses a target for a request by power of two choices.

Source: M. Mitzenmacher, "The power of two choices in randomized load balancing",
2001.
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
# A reported load loses its weight with this time constant, because it lags.
REPORT_LIFE_S = 1.0
# A report may be older than its arrival. With more weight all VMs would follow it
# to the same targets.
REPORT_WEIGHT = 0.2
VIEW_LIFE_S = 1.0
LATENCY_WEIGHT = 0.1
FAILURE_PENALTY = 4.0
LEAST_LATENCY_S = 0.001


class NoCapacity(Failure):
    """No target of the service may take the request now."""

    code = "no-capacity"

    def __init__(self, service: str) -> None:
        super().__init__(f"no target of service {service!r} has capacity")


class Choice(NamedTuple):
    """A chosen target, and the ejection scope when it is a trial."""

    target: Target
    trial_scope: str | None = None


class Report(NamedTuple):
    """A load that a target reported, beyond this VM's own part."""

    others: float
    at: float


class LocalView:
    """What this VM's own exchanges show of a target."""

    def __init__(self) -> None:
        self.latency_s = 0.0
        self.failed_share = 0.0
        self.at = 0.0

    def add(self, latency_s: float, failed: bool, now: float) -> None:
        """Update the moving averages."""
        self.at = now
        if self.latency_s == 0.0:
            self.latency_s = latency_s
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
        self.failed_share += LATENCY_WEIGHT * (failed - self.failed_share)

    def cost(self, now: float) -> float:
        """Return the expected time of one request.

        It is discounted by its age, so that a target that looked bad is tried
        again and evidence on it does not run dry.
        """
        freshness = exp((self.at - now) / VIEW_LIFE_S)
        latency = max(self.latency_s * freshness, LEAST_LATENCY_S)
        return latency * (1.0 + FAILURE_PENALTY * self.failed_share * freshness)


class Balancer:
    """Knows this VM's requests in flight at each target."""

    def __init__(
        self,
        listing: Listing,
        ejector: Ejector,
        place: Locality,
        link: MeteredLink,
        random: Random,
    ) -> None:
        self.listing = listing
        self.ejector = ejector
        self.place = place
        self.link = link
        self.random = random
        self.slots_by_service: dict[str, int] = {}
        self.in_flight_by_target: dict[str, int] = {}
        self.assigned_by_service: dict[str, dict[str, int]] = {}
        self.borrow_by_service: dict[str, BorrowLimit] = {}
        self.views_by_target: dict[str, LocalView] = {}
        self.reports_by_target: dict[str, Report] = {}
        self.tiers_by_service: dict[str, Tiers] = {}
        # Services whose subset is computed again at their next request.
        self.stale_services: set[str] = set()

    def recompute_subset(self, service: str) -> None:
        """Recompute the subset of a service after a change of a list."""
        self.stale_services.discard(service)
        listed = self.listing.targets_by_service.get(service, {})
        live = [item for item in listed.values() if item.state == "live"]
        center = self.place.data_center
        local = [item.name for item in live if item.data_center == center]
        vms = {
            item.vm
            for item in self.listing.daemons_by_id.values()
            if item.state == "live" and item.data_center == center
        } | {self.place.vm}
        slots = self.slots_of(service)
        assigned = assign_slots(self.place.vm, vms, local, slots)
        self.assigned_by_service[service] = assigned
        total = slots * max(1, len(live))
        most = max(2.0, total / max(1, len(vms)))
        if service not in self.borrow_by_service:
            self.borrow_by_service[service] = BorrowLimit(most)
        self.borrow_by_service[service].most = most
        near = set(assigned)
        self.tiers_by_service[service] = choose_subset(self.place, live, near)

    def slots_of(self, service: str) -> int:
        """Return the slots of each target of a service."""
        return self.slots_by_service.get(service, DEFAULT_SLOTS)

    def set_slots(self, slots_by_service: dict[str, int]) -> None:
        """Take over the configured slots."""
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
        """Return the target that should take the next request."""
        if service in self.stale_services:
            self.recompute_subset(service)
        tiers = self.tiers_by_service.get(service)
        if tiers is None:
            return Error(NoCapacity(service))
        if repeatable:
            trial = self.choose_trial(service, route_class, now, tiers, excluded)
            if trial is not None:
                return Ok(trial)
        out = self.ejector.ejections_of(service, route_class)
        barred = out.keys() | set(excluded)
        own = self.draw_pair(tiers.local, now, barred, borrow=False)
        if own:
            return Ok(Choice(min(own, key=lambda item: self.cost(item, now))))
        if self.borrowed(service, tiers) >= self.borrow_by_service[service].limit:
            return Error(NoCapacity(service))
        for tier in tiers:
            pair = self.draw_pair(tier, now, barred, borrow=True)
            if not pair:
                continue
            if tier is tiers.metered and not self.link.take(download, now):
                continue
            return Ok(Choice(min(pair, key=lambda item: self.cost(item, now))))
        return Error(NoCapacity(service))

    def draw_pair(
        self,
        tier: tuple[Target, ...],
        now: float,
        barred: Collection[str],
        borrow: bool,
    ) -> list[Target]:
        """Return up to two random targets of a tier that may take a request."""
        pair: list[Target] = []
        for item in self.random.sample(tier, len(tier)):
            if item.name not in barred and self.has_free_slot(item, borrow):
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
        """Return an ejected target of the subset that is due for a trial."""
        key = self.ejector.trial_key(service, route_class, now)
        if key is None or key.target in excluded:
            return None
        for tier in (tiers.local, tiers.region):
            for item in tier:
                if item.name == key.target:
                    return Choice(item, key.route_class)
        return None

    def usable(self, service: str, excluded: Collection[str] = ()) -> bool:
        """Return whether any listed target may be tried at all."""
        tiers = self.tiers_by_service.get(service, Tiers((), (), ()))
        return any(item.name not in excluded for tier in tiers for item in tier)

    def has_free_slots(self, service: str) -> bool:
        """Return whether this VM has slots to spare near it, as hedges need."""
        tiers = self.tiers_by_service.get(service, Tiers((), (), ()))
        near = {item.name for item in tiers.local}
        assigned = self.assigned_by_service.get(service, {})
        used = sum(self.in_flight_of(name) for name in near)
        return used < sum(assigned.values())

    def has_free_slot(self, target: Target, borrow: bool) -> bool:
        """Return whether this VM may run one more request at a target."""
        assigned = self.assigned_by_service[target.service].get(target.name, 0)
        most = min(assigned + borrow, self.slots_of(target.service))
        return self.in_flight_of(target.name) < most

    def borrowed(self, service: str, tiers: Tiers) -> int:
        """Return the slots in use beyond this VM's own."""
        assigned = self.assigned_by_service[service]
        return sum(
            max(0, self.in_flight_of(item.name) - assigned.get(item.name, 0))
            for tier in tiers
            for item in tier
        )

    def cost(self, target: Target, now: float) -> float:
        """Return the expected time in the target, by load, latency and failures."""
        slots = self.slots_of(target.service)
        view = self.views_by_target.get(target.name)
        load = self.in_flight_of(target.name) + 1.0
        report = self.reports_by_target.get(target.name)
        if report is not None:
            load += report.others * exp((report.at - now) / REPORT_LIFE_S)
        ramp = self.ejector.ramp(target.service, target.name, now)
        cost = LEAST_LATENCY_S if view is None else view.cost(now)
        return load * cost / (slots * ramp)

    def in_flight_of(self, target: str) -> int:
        """Return this VM's requests in flight at a target."""
        return self.in_flight_by_target.get(target, 0)

    def start(self, target: str) -> None:
        """Count one more request in flight."""
        self.in_flight_by_target[target] = self.in_flight_of(target) + 1

    def finish(self, target: str) -> None:
        """Count one request in flight less."""
        left = self.in_flight_of(target) - 1
        if left > 0:
            self.in_flight_by_target[target] = left
        else:
            self.in_flight_by_target.pop(target, None)

    def record_load(self, target: str, busy: float, at: float) -> None:
        """Take note of the load that a target reported; it is weak evidence."""
        others = REPORT_WEIGHT * max(0.0, busy - self.in_flight_of(target))
        self.reports_by_target[target] = Report(others, at)

    def observe(self, observation: Observation, late: bool = False) -> None:
        """Take note of what an exchange showed.

        A late or shed answer reduces borrowing, so that an overload waits in the
        fair queue and not in the targets.
        """
        target = observation.target
        limit = self.borrow_by_service.get(observation.service)
        overloaded = late or observation.outcome is Outcome.SHED
        if limit is not None and overloaded:
            limit.note_overload(observation.at)
        if observation.outcome is Outcome.SHED:
            return
        good = observation.outcome is Outcome.OK
        if good and not late and limit is not None:
            limit.note_good()
        view = self.views_by_target.get(target)
        if view is None:
            view = self.views_by_target[target] = LocalView()
        view.add(observation.first_byte_s, not good, observation.at)

    def forget(self, targets: set[str]) -> None:
        """Drop targets that are no longer listed."""
        for target in targets:
            self.views_by_target.pop(target, None)
            self.reports_by_target.pop(target, None)
