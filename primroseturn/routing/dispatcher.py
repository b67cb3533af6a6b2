"""Grants requests a slot at a target; the request path's view of all decisions."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

from anyio import current_time
from expression import Result

from primroseturn.configuration.models import Target
from primroseturn.detection.observations import Observation
from primroseturn.failures import Failure
from primroseturn.routing.balancer import Balancer


class Demand(NamedTuple):
    """What a request asks of the dispatcher.

    Attributes
    ----------
    workspace, share
        Whose request it is and the workspace's weight in the fair queue.
    deadline_at
        Monotonic time in seconds after which the answer is of no use.
    excluded
        Names of targets that were tried already.
    repeatable, download
        As in `Route`.
    """

    workspace: str
    share: float
    service: str
    route_class: str
    deadline_at: float
    excluded: frozenset[str] = frozenset()
    repeatable: bool = True
    download: bool = False


class Dispatcher:
    """Chooses targets and holds their slots while requests run."""

    def __init__(self, balancer: Balancer) -> None:
        self.balancer = balancer

    @asynccontextmanager
    async def acquire(self, demand: Demand) -> AsyncIterator[Result[Target, Failure]]:
        """Hold a slot at a target for the life of the context.

        Yields
        ------
        Result
            The target, or why the request gets none. A failure means that
            nothing was sent.
        """
        choice = self.balancer.choose(
            demand.service, demand.route_class, current_time(), demand.excluded
        )
        if choice.is_error():
            yield choice
            return
        with self.balancer.occupy(choice.ok.name):
            yield choice

    def observe(self, observation: Observation) -> None:
        """Take note of what an exchange with a target showed."""
        self.balancer.observe(observation)
