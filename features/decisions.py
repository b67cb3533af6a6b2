"""Builds the dispatcher of one VM for scenarios, which run it on a virtual clock."""

from collections.abc import Callable
from random import Random
from typing import Any

from anyio import current_time, run
from trio.testing import MockClock

from primroseturn.configuration.models import Service, Target
from primroseturn.configuration.state import EMPTY_STATE
from primroseturn.detection.profiles import Profile, profiles_by_name
from primroseturn.membership.listing import Listing
from primroseturn.routing.assembly import assemble_dispatcher
from primroseturn.routing.dispatcher import Dispatcher, SlotRequest
from primroseturn.routing.subset import Locality

SERVICE = "search"


def run_on_clock(function: Callable, *arguments: Any) -> Any:
    """Run a coroutine function on trio's virtual clock."""
    clock = MockClock(autojump_threshold=0)
    options = {"clock": clock}
    return run(function, *arguments, backend="trio", backend_options=options)


def build_dispatcher(
    targets: int, slots: int, profile: Profile = profiles_by_name["fast"]
) -> Dispatcher:
    """Return a dispatcher with all targets in the data centre of its VM."""
    listing = Listing()
    names = [f"target{number}" for number in range(targets)]
    listing.targets_by_service[SERVICE] = {
        name: Target(name, SERVICE, "", "dc1", "region1") for name in names
    }
    now = current_time()
    locality = Locality("vm1", "dc1", "region1")
    dispatcher = assemble_dispatcher(
        listing, locality, profile, 0.5, 1_000_000.0, Random(1), now
    )
    service = Service(SERVICE, slots)
    state = EMPTY_STATE._replace(services_by_name={SERVICE: service})
    dispatcher.apply_configuration(state, profile, now)
    dispatcher.apply_listing(listing, SERVICE, now)
    return dispatcher


def slot_request(deadline_s: float = 10.0, repeatable: bool = True) -> SlotRequest:
    """Return a slot request of the workspace of the scenarios."""
    deadline_at = current_time() + deadline_s
    return SlotRequest(
        "shop", 1.0, SERVICE, "lookup", deadline_at, repeatable=repeatable
    )
