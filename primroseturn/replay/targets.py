"""Simulated targets of a replay: slots, a short queue, and behaviour over time."""

from bisect import bisect_left
from collections import deque
from heapq import heapreplace
from math import exp
from random import Random
from typing import NamedTuple

from primroseturn.detection.observations import Outcome
from primroseturn.replay.trace import Behaviour, Exchange, ServiceLine

SHED_LATENCY_S = 0.001
# A request that arrives up to this time before a recorded exchange ends like it.
EXCHANGE_VALIDITY_S = 1.0


class TargetResponse(NamedTuple):
    """Outcome of a request and the seconds until the response.

    `after_s` is None if the target never responds.
    """

    outcome: Outcome
    after_s: float | None


class ReplayTarget:
    """One simulated target.

    Attributes
    ----------
    slots_free_at
        Heap of the times at which the slots become free.
    waiting_starts
        Times at which the requests that wait for a slot start to run, in order.
    behaviours
        Behaviours in force, at most one per route class.
    sheds
        Requests that the target shed.
    """

    def __init__(self, line: ServiceLine, name: str, random: Random) -> None:
        self.line = line
        self.name = name
        self.random = random
        self.slots_free_at = [0.0] * line.slots
        self.waiting_starts: deque[float] = deque()
        self.behaviours: list[Behaviour] = []
        self.recorded_exchanges: list[Exchange] = []
        self.recorded_times: list[float] = []
        self.sheds = 0
        self.response_count = 0

    def add_exchange(self, exchange: Exchange) -> None:
        """Add a recorded exchange, which must be later than those before it."""
        self.recorded_exchanges.append(exchange)
        self.recorded_times.append(exchange.at_s)

    def set_behaviour(self, behaviour: Behaviour) -> None:
        """Set a behaviour; it replaces the former one of the same route class."""
        other_classes = [
            item
            for item in self.behaviours
            if item.route_class != behaviour.route_class
        ]
        self.behaviours = [*other_classes, behaviour]

    def is_faulty(self, route_class: str, now: float) -> bool:
        """Return whether the trace makes the target misbehave for a class."""
        return any(
            item.failed_share > 0
            or item.silent_share > 0
            or (item.slow > 1.5 and not 0 < item.cold_s <= now - item.at_s)
            for item in self.behaviours
            if item.route_class in ("", route_class)
        )

    def respond(self, route_class: str, now: float) -> TargetResponse:
        """Return the response to a request that arrives now."""
        self.response_count += 1
        recorded = self.find_recorded(route_class, now)
        if recorded is not None:
            return TargetResponse(Outcome(recorded.outcome), recorded.latency_s)
        random, line = self.random, self.line
        duration = random.lognormvariate(0.0, line.sigma) * line.median_s
        if random.random() < line.tail_share:
            duration *= line.tail_factor
        failed_share, silent_share = line.failed_share, 0.0
        for item in self.behaviours:
            if item.route_class not in ("", route_class):
                continue
            duration *= slow_factor(item, now)
            failed_share = max(failed_share, item.failed_share)
            silent_share = max(silent_share, item.silent_share)
        while self.waiting_starts and self.waiting_starts[0] <= now:
            self.waiting_starts.popleft()
        if len(self.waiting_starts) >= line.waiting:
            self.sheds += 1
            return TargetResponse(Outcome.SHED, SHED_LATENCY_S)
        is_failed = random.random() < failed_share
        is_stalled = random.random() < silent_share
        if is_failed:
            duration *= 0.3
        start = max(now, self.slots_free_at[0])
        heapreplace(self.slots_free_at, start + duration)
        if start > now:
            self.waiting_starts.append(start)
        if is_stalled:
            return TargetResponse(Outcome.STALL, None)
        outcome = Outcome.ERROR if is_failed else Outcome.OK
        return TargetResponse(outcome, start + duration - now)

    def find_recorded(self, route_class: str, now: float) -> Exchange | None:
        """Return the recorded exchange of a class that decides a response at `now`.

        None is returned if the next one of the class is later than
        `EXCHANGE_VALIDITY_S`, or not among the next 50 of the target.
        """
        index = bisect_left(self.recorded_times, now)
        for item in self.recorded_exchanges[index : index + 50]:
            if item.at_s - now > EXCHANGE_VALIDITY_S:
                return None
            if item.route_class == route_class:
                return item
        return None

    def load(self, now: float) -> int:
        """Return the number of slots in use plus that of waiting requests."""
        waiting = sum(start > now for start in self.waiting_starts)
        return sum(at > now for at in self.slots_free_at) + waiting


def slow_factor(behaviour: Behaviour, now: float) -> float:
    """Return the factor by which a behaviour multiplies the latency at a time."""
    if behaviour.cold_s <= 0:
        return behaviour.slow
    age = now - behaviour.at_s
    if age >= behaviour.cold_s:
        return 1.0
    return 1.0 + (behaviour.slow - 1.0) * exp(-3.0 * age / behaviour.cold_s)
