"""Targets of a replay: slots, a short waiting line, and behaviour over time."""

from bisect import bisect_left
from collections import deque
from heapq import heapreplace
from math import exp
from random import Random
from typing import NamedTuple

from primroseturn.detection.observations import Outcome
from primroseturn.replay.trace import Behaviour, Exchange, ServiceLine

SHED_S = 0.001
# Recorded exchanges stand for the behaviour of their target this long.
EXCHANGE_LIFE_S = 1.0


class Answer(NamedTuple):
    """What a target does with a request; None as `after_s` means no answer."""

    outcome: Outcome
    after_s: float | None


class ReplayTarget:
    """One target. The slots are kept as the times at which they become free."""

    def __init__(self, line: ServiceLine, name: str, random: Random) -> None:
        self.line = line
        self.name = name
        self.random = random
        self.free_at = [0.0] * line.slots
        self.starts: deque[float] = deque()
        self.behaviours: list[Behaviour] = []
        self.recorded: list[Exchange] = []
        self.recorded_at: list[float] = []
        self.sheds = 0
        self.answers = 0

    def record(self, exchange: Exchange) -> None:
        """Add a recorded exchange, in order of time."""
        self.recorded.append(exchange)
        self.recorded_at.append(exchange.at_s)

    def behave(self, behaviour: Behaviour) -> None:
        """Take over a behaviour; one for the same class replaces the former."""
        kept = [
            item
            for item in self.behaviours
            if item.route_class != behaviour.route_class
        ]
        self.behaviours = [*kept, behaviour]

    def is_faulty(self, route_class: str, now: float) -> bool:
        """Return whether the trace makes the target misbehave for a class."""
        return any(
            item.failed_share > 0
            or item.silent_share > 0
            or (item.slow > 1.5 and not 0 < item.cold_s <= now - item.at_s)
            for item in self.behaviours
            if item.route_class in ("", route_class)
        )

    def answer(self, route_class: str, now: float) -> Answer:
        """Run a request that arrives now."""
        self.answers += 1
        recorded = self.find_recorded(route_class, now)
        if recorded is not None:
            return Answer(Outcome(recorded.outcome), recorded.latency_s)
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
        while self.starts and self.starts[0] <= now:
            self.starts.popleft()
        if len(self.starts) >= line.waiting:
            self.sheds += 1
            return Answer(Outcome.SHED, SHED_S)
        failed = random.random() < failed_share
        silent = random.random() < silent_share
        if failed:
            duration *= 0.3
        start = max(now, self.free_at[0])
        heapreplace(self.free_at, start + duration)
        if start > now:
            self.starts.append(start)
        if silent:
            return Answer(Outcome.STALL, None)
        outcome = Outcome.ERROR if failed else Outcome.OK
        return Answer(outcome, start + duration - now)

    def find_recorded(self, route_class: str, now: float) -> Exchange | None:
        """Return the recorded exchange of the class that is next in time."""
        index = bisect_left(self.recorded_at, now)
        for item in self.recorded[index : index + 50]:
            if item.at_s - now > EXCHANGE_LIFE_S:
                return None
            if item.route_class == route_class:
                return item
        return None

    def busy(self, now: float) -> int:
        """Return the slots in use and the requests that wait."""
        waiting = sum(start > now for start in self.starts)
        return sum(at > now for at in self.free_at) + waiting


def slow_factor(behaviour: Behaviour, now: float) -> float:
    """Return the factor on the latency at a time."""
    if behaviour.cold_s <= 0:
        return behaviour.slow
    age = now - behaviour.at_s
    if age >= behaviour.cold_s:
        return 1.0
    return 1.0 + (behaviour.slow - 1.0) * exp(-3.0 * age / behaviour.cold_s)
