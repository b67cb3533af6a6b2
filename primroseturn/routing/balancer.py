"""Chooses a target for a request by power of two choices."""

from collections.abc import Collection, Iterator
from contextlib import contextmanager
from random import Random

from expression import Error, Ok, Result

from primroseturn.configuration.models import Target
from primroseturn.detection.observations import Observation
from primroseturn.failures import Failure
from primroseturn.membership.listing import Listing


class NoCapacity(Failure):
    """No target of the service may take the request now."""

    code = "no-capacity"

    def __init__(self, service: str) -> None:
        super().__init__(f"no target of service {service!r} has capacity")


class Balancer:
    """Knows this VM's requests in flight at each target."""

    def __init__(self, listing: Listing, random: Random) -> None:
        self.listing = listing
        self.random = random
        self.in_flight_by_target: dict[str, int] = {}

    def choose(
        self,
        service: str,
        route_class: str,
        now: float,
        excluded: Collection[str] = (),
    ) -> Result[Target, Failure]:
        """Return the target that should take the next request."""
        listed = self.listing.targets_by_service.get(service, {})
        candidates = [
            item
            for item in listed.values()
            if item.state == "live" and item.name not in excluded
        ]
        if not candidates:
            return Error(NoCapacity(service))
        pair = self.random.sample(candidates, min(2, len(candidates)))
        return Ok(min(pair, key=lambda item: self.in_flight_of(item.name)))

    def in_flight_of(self, target: str) -> int:
        """Return this VM's requests in flight at a target."""
        return self.in_flight_by_target.get(target, 0)

    @contextmanager
    def occupy(self, target: str) -> Iterator[None]:
        """Count a request in flight at a target."""
        self.in_flight_by_target[target] = self.in_flight_of(target) + 1
        try:
            yield
        finally:
            self.in_flight_by_target[target] -= 1

    def observe(self, observation: Observation) -> None:
        """Take note of what an exchange showed."""
