"""Runs traces through the daemon's decision code on trio's virtual clock."""

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

from anyio import create_task_group, current_time, move_on_after, run, sleep
from anyio.abc import TaskGroup
from trio.testing import MockClock

from primroseturn.configuration.models import EntryVm, Preset, Route, Service, Target
from primroseturn.configuration.state import EMPTY_STATE
from primroseturn.detection.digest_exchange import DigestExchange, Peers
from primroseturn.detection.evidence import ALL_CLASSES, EvidenceKey
from primroseturn.detection.observations import Observation, Outcome
from primroseturn.detection.profiles import Profile, profiles_by_name
from primroseturn.ejection.events import TARGET_EJECTED, TARGET_RETURNED
from primroseturn.ejection.floor import keeps_floor
from primroseturn.membership.listing import Listing
from primroseturn.replay.results import (
    EjectionChange,
    Report,
    summarise_replay,
    Tally,
    WARM_UP_S,
)
from primroseturn.replay.targets import ReplayTarget
from primroseturn.replay.trace import (
    Arrival,
    Arrivals,
    Behaviour,
    ListingLine,
    LoadLine,
    NetworkLine,
    replay_end_s,
    RouteLine,
    StoreLine,
    Trace,
)
from primroseturn.routing.assembly import assemble_dispatcher
from primroseturn.routing.dispatcher import Dispatcher, SlotRequest
from primroseturn.routing.service import TICK_S
from primroseturn.routing.subset import Locality
from primroseturn.standins.network import MemoryNetwork

# One-way delays within a data centre, between data centres of a region, and between
# regions.
CENTER_DELAY_S = 0.0002
REGION_DELAY_S = 0.001
CROSS_REGION_DELAY_S = 0.012
MAX_ATTEMPTS = 2
FINISH_TIMEOUT_S = 10.0
LINK_BYTES_PER_S = 1_000_000.0


def locality_of(number: int, trace: Trace) -> Locality:
    """Return the location of the VM or target with a number."""
    fleet = trace.fleet
    center = number % (fleet.regions * fleet.data_centers_per_region)
    return Locality(
        f"vm{number}", f"dc{center + 1}", f"region{center % fleet.regions + 1}"
    )


class Replay:
    """State of one replay.

    Attributes
    ----------
    listed_by_name
        Targets as the VM list has them while they are live.
    blind_vms
        VMs whose exchanges get no response.
    rate_versions
        Number of rates set so far, by workspace, service and route class.
    load_version
        Number of lines of kind ``load`` applied so far.
    pending_listings
        Changes of the VM list that wait for the store.
    warm_up_s
        Seconds at the start whose requests are not measured.
    """

    def __init__(self, trace: Trace, profile: Profile, tasks: TaskGroup) -> None:
        self.trace = trace
        self.profile = profile
        self.tasks = tasks
        self.random = Random(trace.fleet.seed)
        self.tally = Tally()
        self.listing = Listing()
        self.network = MemoryNetwork(tasks, trace.fleet.seed)
        self.targets_by_name: dict[str, ReplayTarget] = {}
        self.listed_by_name: dict[str, Target] = {}
        self.localities_by_vm: dict[str, Locality] = {}
        self.dispatchers_by_vm: dict[str, Dispatcher] = {}
        self.digest_exchanges: list[DigestExchange] = []
        self.blind_vms: set[str] = set()
        self.rate_versions: dict[tuple[str, str, str], int] = {}
        self.load_version = 0
        self.is_store_available = True
        self.pending_listings: list[ListingLine] = []
        self.started_at = current_time()
        self.is_stopping = False
        self.running_requests = 0
        self.warm_up_s = 0.0 if trace.fleet.ends_with_lines else WARM_UP_S

    def now(self) -> float:
        """Return the seconds since the start of the trace."""
        return current_time() - self.started_at

    def build(self) -> None:
        """Create the targets, the VM lists and the VMs."""
        for line in self.trace.services_by_name.values():
            targets = {}
            for number, name in enumerate(line.target_names()):
                locality = locality_of(number, self.trace)
                seed = f"{self.trace.fleet.seed}/{name}"
                self.targets_by_name[name] = ReplayTarget(line, name, Random(seed))
                targets[name] = Target(
                    name, line.name, "", locality.data_center, locality.region
                )
            self.listed_by_name.update(targets)
            self.listing.targets_by_service[line.name] = targets
        for line in self.trace.exchanges:
            target = self.targets_by_name.get(line.target)
            if target is not None:
                target.add_exchange(line)
        for number in range(self.trace.fleet.vms):
            locality = locality_of(number, self.trace)
            self.localities_by_vm[locality.vm] = locality
            self.listing.daemons_by_vm[locality.vm] = EntryVm(
                locality.vm, "", 0, locality.data_center, locality.region
            )
        self.hide_gone_targets()
        for vm in self.localities_by_vm:
            self.build_vm(vm)
        self.record_senders()

    def hide_gone_targets(self) -> None:
        """Remove from the VM list the targets that the trace lists as gone at 0 s."""
        for event in self.trace.events:
            if isinstance(event, ListingLine) and event.at_s == 0:
                for name in event.targets:
                    self.listing.targets_by_service[event.service].pop(name, None)

    def build_vm(self, vm: str) -> None:
        """Create the dispatcher and the digest exchange of one VM."""
        locality, fleet = self.localities_by_vm[vm], self.trace.fleet
        dispatcher = assemble_dispatcher(
            self.listing,
            locality,
            self.profile,
            fleet.floor,
            LINK_BYTES_PER_S / fleet.vms,
            Random(f"{fleet.seed}/{vm}"),
            current_time(),
        )
        self.dispatchers_by_vm[vm] = dispatcher
        dispatcher.ejector.listeners.append(partial(self.record_ejection_change, vm))
        for service in self.listing.targets_by_service:
            dispatcher.apply_listing(self.listing, service, current_time())
        preset = Preset(
            "trace",
            fleet.profile,
            fleet.floor,
            fleet.retry_ratio,
            fleet.queue_limit,
        )
        services = {
            line.name: Service(line.name, line.slots)
            for line in self.trace.services_by_name.values()
        }
        routes = {
            f"{line.service}/{line.route_class}": Route(
                line.route_class,
                "/",
                line.service,
                route_class=line.route_class,
            )
            for line in self.trace.routes_by_key.values()
        }
        state = EMPTY_STATE._replace(
            services_by_name=services, routes_by_name=routes, preset_in_force=preset
        )
        dispatcher.apply_configuration(state, self.profile, current_time())
        bus = self.network.join(vm, "1")
        digest_exchange = DigestExchange(
            bus, dispatcher.monitor, partial(self.peers_of, locality)
        )
        self.digest_exchanges.append(digest_exchange)

    def peers_of(self, locality: Locality) -> Peers:
        """Return the VMs in a VM's own data centre and those in other ones."""
        near = [
            item.vm
            for item in self.localities_by_vm.values()
            if item.data_center == locality.data_center and item.vm != locality.vm
        ]
        far = [
            item.vm
            for item in self.localities_by_vm.values()
            if item.data_center != locality.data_center
        ]
        return Peers(near, far)

    def record_senders(self) -> None:
        """Record which VMs send requests to each target while all are healthy."""
        for vm, dispatcher in self.dispatchers_by_vm.items():
            for tiers in dispatcher.balancer.tiers_by_service.values():
                for target in next((tier for tier in tiers if tier), ()):
                    senders = self.tally.senders_by_target.setdefault(
                        target.name, set()
                    )
                    senders.add(vm)

    def record_ejection_change(
        self, vm: str, event: Any, key: EvidenceKey, now: float
    ) -> None:
        """Record an ejection or a return of a target, and count breaches of the floor.

        Other events are ignored.
        """
        if event not in (TARGET_EJECTED, TARGET_RETURNED):
            return
        is_ejection = event is TARGET_EJECTED
        at_s = now - self.started_at
        target = self.targets_by_name[key.target]
        if key.route_class == ALL_CLASSES:
            route_classes = [
                class_name
                for service, class_name in self.trace.routes_by_key
                if service == key.service
            ]
        else:
            route_classes = [key.route_class]
        was_faulty = any(
            target.is_faulty(route_class, at_s) for route_class in route_classes
        )
        self.tally.changes.append(
            EjectionChange(at_s, vm, key, is_ejection, was_faulty)
        )
        ejector = self.dispatchers_by_vm[vm].ejector
        live = ejector.live_by_service[key.service]
        for route_class in route_classes:
            ejections = ejector.ejections_of(key.service, route_class)
            if is_ejection and not keeps_floor(
                len(live) - len(ejections), len(live), ejector.floor
            ):
                self.tally.floor_breaches += 1

    def start_tasks(self) -> None:
        """Start the tasks of the replay."""
        for index, dispatcher in enumerate(self.dispatchers_by_vm.values()):
            phase = index / len(self.dispatchers_by_vm)
            self.tasks.start_soon(self.tick_vm, dispatcher, phase * TICK_S)
            self.tasks.start_soon(
                self.send_digests, self.digest_exchanges[index], phase
            )
        self.tasks.start_soon(self.run_events)
        if self.trace.arrivals:
            self.tasks.start_soon(self.run_recorded_arrivals)

    async def tick_vm(self, dispatcher: Dispatcher, phase_s: float) -> None:
        """Run the periodic work of a VM."""
        await sleep(phase_s)
        while True:
            await sleep(TICK_S)
            dispatcher.tick(current_time())

    async def send_digests(self, digest_exchange: DigestExchange, phase: float) -> None:
        """Send a VM's digests, with the VMs' start times spread over 0.25 s."""
        await sleep(phase * 0.25)
        await digest_exchange.run()

    async def run_events(self) -> None:
        """Apply the events of the trace at their times."""
        for event in self.trace.events:
            await sleep(max(0.0, event.at_s - self.now()))
            self.apply_event(event)

    def apply_event(self, event: Any) -> None:
        """Put one event into effect."""
        if isinstance(event, Arrivals):
            self.set_rate(event)
        elif isinstance(event, Behaviour):
            for target in self.targets_by_name.values():
                if target.line.name == event.service and (
                    not event.targets or target.name in event.targets
                ):
                    target.set_behaviour(event)
        elif isinstance(event, ListingLine):
            if self.is_store_available:
                self.tasks.start_soon(self.change_listing, event)
            else:
                self.pending_listings.append(event)
        elif isinstance(event, StoreLine):
            self.is_store_available = event.available
            if event.available:
                for line in self.pending_listings:
                    self.tasks.start_soon(self.change_listing, line)
                self.pending_listings.clear()
        elif isinstance(event, NetworkLine):
            self.network.faults.loss_share = event.loss_share
            self.network.faults.cuts = {
                (sender, vm)
                for vm in event.deaf_vms
                for sender in self.localities_by_vm
            }
            self.blind_vms = set(event.blind_vms)
        elif isinstance(event, LoadLine):
            self.load_version += 1
            self.tasks.start_soon(self.report_loads, event, self.load_version)

    async def change_listing(self, event: ListingLine) -> None:
        """Change the VM list; the VMs receive it one after the other within the lag."""
        targets = dict(self.listing.targets_by_service[event.service])
        for name in event.targets:
            if event.state == "gone":
                targets.pop(name, None)
            else:
                listed = self.listed_by_name[name]
                targets[name] = Target(
                    listed.name,
                    listed.service,
                    "",
                    listed.data_center,
                    listed.region,
                    event.state,
                )
        self.listing.targets_by_service[event.service] = targets
        for dispatcher in self.dispatchers_by_vm.values():
            await sleep(event.lag_s / len(self.dispatchers_by_vm))
            dispatcher.apply_listing(self.listing, event.service, current_time())

    async def report_loads(self, event: LoadLine, version: int) -> None:
        """Report the targets' loads of `lag_s` ago until another line replaces it."""
        reports: list[dict[str, int]] = []
        max_reports = max(1, round(event.lag_s / event.every_s) + 1)
        while version == self.load_version:
            now = self.now()
            loads = {
                name: item.load(now) for name, item in self.targets_by_name.items()
            }
            reports = [*reports, loads][-max_reports:]
            for dispatcher in self.dispatchers_by_vm.values():
                for name, value in reports[0].items():
                    dispatcher.balancer.record_load(name, value, current_time())
            await sleep(event.every_s)

    def set_rate(self, event: Arrivals) -> None:
        """Set the rate of a workspace on a route class, in place of the former one."""
        key = (event.workspace, event.service, event.route_class)
        version = self.rate_versions.get(key, 0) + 1
        self.rate_versions[key] = version
        if event.rate > 0:
            self.tasks.start_soon(self.run_arrivals, event, key, version)

    async def run_arrivals(self, event: Arrivals, key: Any, version: int) -> None:
        """Start requests as a Poisson process until another rate is set."""
        vms = list(self.dispatchers_by_vm)
        route = self.trace.routes_by_key[(event.service, event.route_class)]
        random = Random(f"{self.trace.fleet.seed}/{key}/{version}")
        while True:
            await sleep(random.expovariate(event.rate))
            if self.is_stopping or self.rate_versions[key] != version:
                return
            self.start_request(random.choice(vms), route, event.workspace, event.share)

    async def run_recorded_arrivals(self) -> None:
        """Start the recorded requests at the recorded times."""
        vms = list(self.dispatchers_by_vm)
        for arrival in self.trace.arrivals:
            await sleep(max(0.0, arrival.at_s - self.now()))
            self.start_recorded_request(arrival, vms)

    def start_recorded_request(self, arrival: Arrival, vms: list[str]) -> None:
        """Start one recorded request at a random VM."""
        route = self.trace.routes_by_key[(arrival.service, arrival.route_class)]
        vm = self.random.choice(vms)
        self.start_request(vm, route, arrival.workspace, arrival.share)

    def start_request(
        self, vm: str, route: RouteLine, workspace: str, share: float
    ) -> None:
        """Start the task of one request."""
        self.running_requests += 1
        self.tasks.start_soon(self.run_request, vm, route, workspace, share)

    async def run_request(
        self, vm: str, route: RouteLine, workspace: str, share: float
    ) -> None:
        """Run one request and record that it ended."""
        await self.handle_request(vm, route, workspace, share)
        self.running_requests -= 1

    async def finish_requests(self) -> None:
        """Start no more requests, and wait for the running ones up to a timeout."""
        self.is_stopping = True
        timeout_at = current_time() + FINISH_TIMEOUT_S
        while self.running_requests and current_time() < timeout_at:
            await sleep(0.05)

    async def handle_request(
        self, vm: str, route: RouteLine, workspace: str, share: float
    ) -> None:
        """Handle one request with at most one retry, as the request path does."""
        started = current_time()
        is_measured = started - self.started_at >= self.warm_up_s
        self.tally.requests += is_measured
        dispatcher = self.dispatchers_by_vm[vm]
        deadline_at = started + route.deadline_s
        excluded: frozenset[str] = frozenset()
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                if not route.repeatable:
                    return
                if not dispatcher.budget.try_consume(route.service, current_time()):
                    self.tally.refusals["failed"] += is_measured
                    return
                self.tally.retries += is_measured
            slot_request = SlotRequest(
                workspace,
                share,
                route.service,
                route.route_class,
                deadline_at,
                excluded,
                route.repeatable,
                route.download,
            )
            async with dispatcher.acquire(slot_request) as result:
                if result.is_error():
                    self.tally.refusals[result.error.code] += is_measured
                    return
                target = result.ok
                observation = await self.run_exchange(vm, target, route, deadline_at)
                dispatcher.observe(observation)
            if observation.outcome is Outcome.OK:
                dispatcher.budget.record_success(route.service, current_time())
                if is_measured:
                    latency_s = current_time() - started
                    self.tally.record_served(workspace, latency_s, route.download)
                return
            excluded |= {target.name}
        self.tally.refusals["failed"] += is_measured

    async def run_exchange(
        self, vm: str, target: Target, route: RouteLine, deadline_at: float
    ) -> Observation:
        """Send a request to a target and return the observation of the exchange."""
        locality = self.localities_by_vm[vm]
        if target.data_center == locality.data_center:
            delay_s = CENTER_DELAY_S
        else:
            delay_s = (
                REGION_DELAY_S
                if target.region == locality.region
                else CROSS_REGION_DELAY_S
            )
        started = current_time()
        at_s = self.now()
        response = self.targets_by_name[target.name].respond(
            route.route_class, at_s + delay_s
        )
        outcome = Outcome.TIMEOUT
        if response.after_s is None or vm in self.blind_vms:
            await sleep(max(0.0, deadline_at - started))
        else:
            with move_on_after(max(0.0, deadline_at - started)):
                await sleep(response.after_s + 2 * delay_s)
                outcome = response.outcome
        ended = current_time()
        latency = ended - started
        return Observation(
            route.service,
            target.name,
            route.route_class,
            outcome,
            latency,
            latency,
            0.0,
            ended,
        )


async def replay_on_clock(
    trace: Trace, profile: Profile, inspect: Callable[[Replay], None] | None
) -> Report:
    """Run a trace on the clock of the running event loop.

    Parameters
    ----------
    inspect
        Called with the finished replay.
    """
    async with create_task_group() as tasks:
        replay = Replay(trace, profile, tasks)
        replay.build()
        replay.start_tasks()
        await sleep(replay_end_s(trace))
        await replay.finish_requests()
        replay.tally.digest_bytes = sum(
            item.sent_bytes for item in replay.digest_exchanges
        )
        replay.tally.sheds = sum(t.sheds for t in replay.targets_by_name.values())
        report = summarise_replay(trace, replay.tally)
        if inspect is not None:
            inspect(replay)
        tasks.cancel_scope.cancel()
    return report


def run_replay(
    trace: Trace,
    profile: Profile | None = None,
    inspect: Callable[[Replay], None] | None = None,
) -> Report:
    """Run a trace on a virtual clock and return its report.

    Parameters
    ----------
    profile
        Detection profile; by default the one that the trace names.
    inspect
        Called with the finished replay, for further measurements.
    """
    profile = profile or profiles_by_name[trace.fleet.profile]
    clock = MockClock(autojump_threshold=0)
    return run(
        replay_on_clock,
        trace,
        profile,
        inspect,
        backend="trio",
        backend_options={"clock": clock},
    )
