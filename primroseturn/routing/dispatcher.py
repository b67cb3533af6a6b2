"""Grants requests slots at targets.

The request path uses the balancer, monitor, ejector, retry budget and hedging through
the dispatcher.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple, Protocol

from anyio import current_time, Event, move_on_after
from expression import Error, Ok, Result

from primroseturn.configuration.models import Target
from primroseturn.configuration.state import ConfigurationState
from primroseturn.detection.evidence import EvidenceKey
from primroseturn.detection.monitor import HealthMonitor, RunningExchange
from primroseturn.detection.observations import Observation, Outcome
from primroseturn.detection.profiles import Profile, profiles_by_name
from primroseturn.ejection.ejector import Ejector
from primroseturn.failures import Failure
from primroseturn.membership.listing import ENTRY_LIST, Listing
from primroseturn.queueing.metrics import QUEUE_SECONDS
from primroseturn.queueing.queue import FairQueue, QueueRefused, Waiter
from primroseturn.retries.budget import RetryBudget
from primroseturn.retries.hedging import Hedging
from primroseturn.routing.balancer import Balancer, Choice, NoCapacity

# Number of waiters at the head of the queue that are tried for a free slot. The first
# may be unable to use it, for instance because it excludes the only free target.
WAITERS_TRIED = 4


class SlotRequest(NamedTuple):
    """A request for a slot at a target.

    Attributes
    ----------
    workspace, weight
        Workspace of the request, and its weight in the fair queue.
    deadline_at
        Monotonic time in seconds until which the request may wait for a slot. A
        request that is expected to end later is refused.
    excluded
        Names of targets that were tried already.
    repeatable, download
        As in `Route`.
    """

    workspace: str
    weight: float
    service: str
    route_class: str
    deadline_at: float
    excluded: frozenset[str] = frozenset()
    repeatable: bool = True
    download: bool = False


class RequestRecorder(Protocol):
    """Records the slot requests and observations of the request path."""

    def record_slot_request(self, slot_request: SlotRequest) -> None:
        """Record a request for a slot."""

    def record_observation(self, observation: Observation) -> None:
        """Record the end of an exchange."""


class Grant(NamedTuple):
    """A slot that a request holds, and the exchange that runs in it."""

    choice: Choice
    exchange: RunningExchange


class Dispatcher:
    """Chooses targets and holds their slots while requests run."""

    def __init__(
        self,
        balancer: Balancer,
        monitor: HealthMonitor,
        ejector: Ejector,
        budget: RetryBudget,
        hedging: Hedging,
    ) -> None:
        self.balancer = balancer
        self.monitor = monitor
        self.ejector = ejector
        self.budget = budget
        self.hedging = hedging
        self.queue_limit = 200
        self.recorder: RequestRecorder | None = None
        self.refusal_listeners: list[Callable[[SlotRequest, QueueRefused], None]] = []
        self.weights_by_workspace: dict[str, float] = {}
        self.queues_by_service: dict[str, FairQueue] = {}
        self.targets_by_service: dict[str, set[str]] = {}

    @asynccontextmanager
    async def acquire(
        self, slot_request: SlotRequest
    ) -> AsyncIterator[Result[Target, Failure]]:
        """Hold a slot at a target for the life of the context.

        Yields
        ------
        Result
            The target, or why the request gets none. A failure means that
            nothing was sent.
        """
        if self.recorder is not None:
            self.recorder.record_slot_request(slot_request)
        result = self.grant_immediately(slot_request)
        if result.is_error():
            with QUEUE_SECONDS.time():
                result = await self.wait_in_queue(slot_request)
        if result.is_error():
            if isinstance(result.error, QueueRefused):
                for listener in self.refusal_listeners:
                    listener(slot_request, result.error)
            yield Error(result.error)
            return
        try:
            yield Ok(result.ok.choice.target)
        finally:
            self.release(slot_request.service, result.ok)

    def grant_immediately(self, slot_request: SlotRequest) -> Result[Grant, Failure]:
        """Grant a free slot unless requests are waiting for one."""
        queue = self.queues_by_service.get(slot_request.service)
        if queue is not None and queue.size:
            return Error(NoCapacity(slot_request.service))
        return self.grant(slot_request)

    def grant(self, slot_request: SlotRequest) -> Result[Grant, Failure]:
        """Choose a target and occupy a slot of it."""
        now = current_time()
        chosen = self.balancer.choose(
            slot_request.service,
            slot_request.route_class,
            now,
            slot_request.excluded,
            slot_request.repeatable,
            slot_request.download,
        )
        if chosen.is_error():
            return Error(chosen.error)
        choice = chosen.ok
        target = choice.target.name
        if choice.trial_scope is not None:
            key = EvidenceKey(slot_request.service, target, choice.trial_scope)
            self.ejector.begin_trial(key, now)
        self.balancer.start_request(target)
        exchange = self.monitor.start_exchange(
            slot_request.service,
            target,
            slot_request.route_class,
            now,
            slot_request.download,
        )
        return Ok(Grant(choice, exchange))

    def release(self, service: str, grant: Grant) -> None:
        """Release a slot and grant free slots to waiters."""
        target = grant.choice.target.name
        self.monitor.end_exchange(grant.exchange, current_time())
        self.balancer.finish_request(target)
        if grant.choice.trial_scope is not None:
            self.ejector.end_trial(
                EvidenceKey(service, target, grant.choice.trial_scope)
            )
        self.serve_queue(service)

    async def wait_in_queue(self, slot_request: SlotRequest) -> Result[Grant, Failure]:
        """Wait in the fair queue for a slot, at most until the deadline."""
        if not self.balancer.has_target(slot_request.service, slot_request.excluded):
            return Error(NoCapacity(slot_request.service))
        now = current_time()
        queue = self.queue_of(slot_request.service)
        weight = self.weights_by_workspace.get(
            slot_request.workspace, slot_request.weight
        )
        waiter = Waiter(slot_request.workspace, weight, slot_request.deadline_at)
        waiter.payload = (slot_request, Event(), [])
        enqueued = queue.enqueue(waiter, now, self.service_time_s(slot_request, now))
        if enqueued.is_error():
            return Error(enqueued.error)
        if enqueued.ok is not None:
            # Wakes the waiter that was evicted, whose request is then refused.
            enqueued.ok.payload[1].set()
        _, ready, grants = waiter.payload
        finished = False
        try:
            self.serve_queue(slot_request.service)
            with move_on_after(slot_request.deadline_at - now):
                await ready.wait()
            finished = True
        finally:
            queue.remove(waiter)
            if not finished and grants:
                # The request was cancelled after it was granted a slot.
                self.release(slot_request.service, grants[0])
        if grants:
            return Ok(grants[0])
        refusal = waiter.refusal or QueueRefused("its deadline has passed", 1.0)
        return Error(refusal)

    def service_time_s(self, slot_request: SlotRequest, now: float) -> float:
        """Return the seconds that the request typically needs after it got a slot.

        They are 0 for a download, and while no latency of the route class is known.
        """
        key = (slot_request.service, slot_request.route_class)
        recent = self.hedging.latencies_by_class.get(key)
        if recent is None or slot_request.download:
            return 0.0
        return recent.median_latency_s

    def queue_of(self, service: str) -> FairQueue:
        """Return the queue of a service."""
        queue = self.queues_by_service.get(service)
        if queue is None:
            queue = self.queues_by_service[service] = FairQueue(self.queue_limit)
        return queue

    def serve_queue(self, service: str) -> None:
        """Grant free slots to waiters in fair order."""
        queue = self.queues_by_service.get(service)
        while queue is not None and queue.size:
            heads = queue.peek(WAITERS_TRIED)
            if not any(self.serve_waiter(queue, item) for item in heads):
                return

    def serve_waiter(self, queue: FairQueue, waiter: Waiter) -> bool:
        """Grant a waiter a slot and return whether one was free for it."""
        slot_request, ready, grants = waiter.payload
        granted = self.grant(slot_request)
        if granted.is_error():
            return False
        queue.dequeue(waiter, current_time())
        grants.append(granted.ok)
        ready.set()
        return True

    def observe(self, observation: Observation) -> None:
        """Record an exchange in the monitor, balancer, ejector and hedging."""
        if self.recorder is not None:
            self.recorder.record_observation(observation)
        bad = self.monitor.observe(observation)
        late = bad and observation.outcome is Outcome.OK
        self.balancer.observe(observation, late)
        self.ejector.record_outcome(
            observation.service,
            observation.target,
            observation.route_class,
            bad,
            observation.at,
        )
        if observation.outcome is Outcome.OK:
            self.hedging.record_latency(
                observation.service, observation.route_class, observation.first_byte_s
            )

    def tick(self, now: float) -> None:
        """Count running exchanges that became late, and grant free slots to waiters."""
        self.monitor.tick(now)
        for service in self.queues_by_service:
            self.serve_queue(service)

    def apply_listing(self, listing: Listing, service: str, now: float) -> None:
        """Apply a changed list of the targets of a service, or of the VMs.

        Parameters
        ----------
        service
            Name of the service, or `ENTRY_LIST` for the list of the VMs.
        """
        if service == ENTRY_LIST:
            # The assignment of slots depends on the VMs. Most services of a large fleet
            # get no requests here, so their assignments are computed on demand only.
            self.balancer.stale_services.update(self.targets_by_service)
            return
        listed = listing.targets_by_service.get(service, {})
        live = {item.name for item in listed.values() if item.state == "live"}
        gone = self.targets_by_service.get(service, set()) - listed.keys()
        self.targets_by_service[service] = set(listed)
        self.balancer.recompute_subset(service)
        self.ejector.set_live_targets(service, live, now)
        self.monitor.register_keys(service, live, set())
        self.monitor.forget(service, gone)
        self.balancer.forget(gone)
        self.serve_queue(service)

    def apply_configuration(
        self, state: ConfigurationState, profile: Profile | None, now: float
    ) -> None:
        """Apply services, routes and the preset in force.

        `profile` overrides the detection profile of the preset.
        """
        preset = state.preset_in_force
        profile = profile or profiles_by_name[preset.profile]
        if profile != self.monitor.profile:
            self.monitor.apply_profile(profile)
            self.ejector.profile = profile
        self.ejector.set_floor(preset.floor, now)
        self.budget.ratio = preset.retry_ratio
        self.queue_limit = preset.queue_limit
        for queue in self.queues_by_service.values():
            queue.limit = preset.queue_limit
        self.weights_by_workspace = dict(preset.shares_by_workspace)
        self.balancer.set_slots(
            {n: item.slots_per_target for n, item in state.services_by_name.items()}
        )
        self.register_classes(state)

    def register_classes(self, state: ConfigurationState) -> None:
        """Register the route classes of each service with the monitor."""
        classes_by_service: dict[str, set[str]] = {}
        for route in state.routes_by_name.values():
            classes_by_service.setdefault(route.service, set()).add(route.route_class)
        for service, names in classes_by_service.items():
            targets = self.targets_by_service.get(service, set())
            self.monitor.register_keys(service, targets, names)
