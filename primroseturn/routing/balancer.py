"""Chooses a target for a request by power of two choices.

Source: M. Mitzenmacher, "The power of two choices in randomized load balancing",
2001.
"""

from collections.abc import Collection, Iterator
from contextlib import contextmanager
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
from primroseturn.routing.slots import SlotShare
from primroseturn.routing.subset import choose_subset, Place, Tiers

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
        place: Place,
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
        self.shares_by_target: dict[str, SlotShare] = {}
        self.views_by_target: dict[str, LocalView] = {}
        self.reports_by_target: dict[str, Report] = {}
        self.tiers_by_service: dict[str, Tiers] = {}

    def set_targets(self, service: str) -> None:
        """Recompute the subset of a service after a change of its list."""
        listed = self.listing.targets_by_service.get(service, {})
        live = [item for item in listed.values() if item.state == "live"]
        self.tiers_by_service[service] = choose_subset(self.place, live)

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
        tiers = self.tiers_by_service.get(service)
        if tiers is None:
            return Error(NoCapacity(service))
        if repeatable:
            trial = self.choose_trial(service, route_class, now, tiers, excluded)
            if trial is not None:
                return Ok(trial)
        out = self.ejector.ejections_of(service, route_class)
        for tier in tiers:
            pair = self.draw_pair(tier, now, out, excluded)
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
        out: Collection[str],
        excluded: Collection[str],
    ) -> list[Target]:
        """Return up to two random targets of a tier that may take a request."""
        pair: list[Target] = []
        for item in self.random.sample(tier, len(tier)):
            if (
                item.name not in out
                and item.name not in excluded
                and self.has_free_slot(item, now)
            ):
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
        near = tiers.local or tiers.region
        used = sum(self.in_flight_of(item.name) for item in near)
        room = sum(self.share_of(item).limit for item in near)
        return used < 0.7 * room

    def has_free_slot(self, target: Target, now: float) -> bool:
        """Return whether this VM may run one more request at a target."""
        ramp = self.ejector.ramp(target.service, target.name, now)
        share = self.share_of(target)
        return share.allows(self.in_flight_of(target.name), ramp)

    def share_of(self, target: Target) -> SlotShare:
        """Return this VM's part of a target's slots."""
        slots = self.slots_by_service.get(target.service, DEFAULT_SLOTS)
        share = self.shares_by_target.get(target.name)
        if share is None:
            share = self.shares_by_target[target.name] = SlotShare(slots)
        share.resize(slots)
        return share

    def cost(self, target: Target, now: float) -> float:
        """Return the expected time in the target, by load, latency and failures."""
        slots = self.slots_by_service.get(target.service, DEFAULT_SLOTS)
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

    @contextmanager
    def occupy(self, target: str) -> Iterator[None]:
        """Count a request in flight at a target."""
        self.start(target)
        try:
            yield
        finally:
            self.finish(target)

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

    def report_load(self, target: str, busy: float, at: float) -> None:
        """Take note of the load that a target reported; it is weak evidence."""
        others = REPORT_WEIGHT * max(0.0, busy - self.in_flight_of(target))
        self.reports_by_target[target] = Report(others, at)

    def observe(self, observation: Observation) -> None:
        """Take note of what an exchange showed."""
        target = observation.target
        share = self.shares_by_target.get(target)
        if observation.outcome is Outcome.SHED:
            if share is not None:
                share.note_shed(observation.at)
            return
        good = observation.outcome is Outcome.OK
        if good and share is not None:
            share.note_good(self.in_flight_of(target))
        view = self.views_by_target.get(target)
        if view is None:
            view = self.views_by_target[target] = LocalView()
        view.add(observation.first_byte_s, not good, observation.at)

    def forget(self, targets: set[str]) -> None:
        """Drop targets that are no longer listed."""
        for target in targets:
            self.shares_by_target.pop(target, None)
            self.views_by_target.pop(target, None)
            self.reports_by_target.pop(target, None)
