"""Runs a trace through the daemon's decision code on trio's virtual clock."""

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

from anyio import create_task_group, current_time, move_on_after, run, sleep
from anyio.abc import TaskGroup
from trio.testing import MockClock

from primroseturn.configuration.models import EntryVm, Preset, Route, Service, Target
from primroseturn.configuration.state import EMPTY_STATE
from primroseturn.detection.evidence import ALL_CLASSES, EvidenceKey
from primroseturn.detection.exchange import DigestExchange, Peers
from primroseturn.detection.observations import Observation, Outcome
from primroseturn.detection.profiles import Profile, profiles_by_name
from primroseturn.ejection.events import TARGET_EJECTED, TARGET_RETURNED
from primroseturn.ejection.floor import keeps_floor
from primroseturn.membership.listing import Listing
from primroseturn.replay.results import Change, Report, summarise, Tally, WARM_S
from primroseturn.replay.targets import ReplayTarget
from primroseturn.replay.trace import (
    Arrival,
    Arrivals,
    Behaviour,
    end_of,
    ListingLine,
    LoadLine,
    NetworkLine,
    RouteLine,
    StoreLine,
    Trace,
)
from primroseturn.routing.assembly import assemble_dispatcher
from primroseturn.routing.dispatcher import Demand, Dispatcher
from primroseturn.routing.service import TICK_S
from primroseturn.routing.subset import Locality
from primroseturn.standins.network import MemoryNetwork

# One-way delays: within a data centre, between data centres, between regions.
NEAR_S = 0.0002
REGION_S = 0.001
FAR_S = 0.012
ATTEMPTS = 2
DRAIN_LIMIT_S = 10.0
LINK_BYTES_PER_S = 1_000_000.0


def place_of(number: int, trace: Trace) -> Locality:
    """Return where the VM or target with a number stands."""
    fleet = trace.fleet
    center = number % (fleet.regions * fleet.data_centers_per_region)
    return Locality(
        f"vm{number}", f"dc{center + 1}", f"region{center % fleet.regions + 1}"
    )


class Replay:
    """State of one replay."""

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
        self.places_by_vm: dict[str, Locality] = {}
        self.dispatchers_by_vm: dict[str, Dispatcher] = {}
        self.exchanges: list[DigestExchange] = []
        self.blind_vms: set[str] = set()
        self.rates: dict[tuple[str, str, str], int] = {}
        self.load_version = 0
        self.store_available = True
        self.waiting_lists: list[ListingLine] = []
        self.started_at = current_time()
        self.stopping = False
        self.running = 0
        self.warm_s = 0.0 if trace.fleet.ends_with_lines else WARM_S

    def now(self) -> float:
        """Return the time since the start of the trace."""
        return current_time() - self.started_at

    def build(self) -> None:
        """Create targets, lists, VMs and their digests."""
        for line in self.trace.services_by_name.values():
            targets = {}
            for number, name in enumerate(line.target_names()):
                place = place_of(number, self.trace)
                seed = f"{self.trace.fleet.seed}/{name}"
                self.targets_by_name[name] = ReplayTarget(line, name, Random(seed))
                targets[name] = Target(
                    name, line.name, "", place.data_center, place.region
                )
            self.listed_by_name.update(targets)
            self.listing.targets_by_service[line.name] = targets
        for line in self.trace.exchanges:
            target = self.targets_by_name.get(line.target)
            if target is not None:
                target.record(line)
        for number in range(self.trace.fleet.vms):
            place = place_of(number, self.trace)
            self.places_by_vm[place.vm] = place
            self.listing.daemons_by_id[place.vm] = EntryVm(
                place.vm, "", 0, place.data_center, place.region
            )
        self.hide_gone_targets()
        for vm in self.places_by_vm:
            self.build_vm(vm)
        self.note_users()

    def hide_gone_targets(self) -> None:
        """Start without the targets that the trace lists as gone at its start."""
        for event in self.trace.events:
            if isinstance(event, ListingLine) and event.at_s == 0:
                for name in event.targets:
                    self.listing.targets_by_service[event.service].pop(name, None)

    def build_vm(self, vm: str) -> None:
        """Create the decision code of one VM."""
        place, fleet = self.places_by_vm[vm], self.trace.fleet
        dispatcher = assemble_dispatcher(
            self.listing,
            place,
            self.profile,
            fleet.floor,
            LINK_BYTES_PER_S / fleet.vms,
            Random(f"{fleet.seed}/{vm}"),
            current_time(),
        )
        self.dispatchers_by_vm[vm] = dispatcher
        dispatcher.ejector.listeners.append(partial(self.note_change, vm))
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
        exchange = DigestExchange(
            bus, dispatcher.monitor, partial(self.peers_of, place)
        )
        self.exchanges.append(exchange)

    def peers_of(self, place: Locality) -> Peers:
        """Return the peers of a VM."""
        near = [
            item.vm
            for item in self.places_by_vm.values()
            if item.data_center == place.data_center and item.vm != place.vm
        ]
        far = [
            item.vm
            for item in self.places_by_vm.values()
            if item.data_center != place.data_center
        ]
        return Peers(near, far)

    def note_users(self) -> None:
        """Note which VMs send a target traffic while it is healthy."""
        for vm, dispatcher in self.dispatchers_by_vm.items():
            for tiers in dispatcher.balancer.tiers_by_service.values():
                for target in next((tier for tier in tiers if tier), ()):
                    users = self.tally.users_by_target.setdefault(target.name, set())
                    users.add(vm)

    def note_change(self, vm: str, event: Any, key: EvidenceKey, now: float) -> None:
        """Record an ejection or a return, and check the floor."""
        if event not in (TARGET_EJECTED, TARGET_RETURNED):
            return
        ejected = event is TARGET_EJECTED
        at = now - self.started_at
        target = self.targets_by_name[key.target]
        if key.route_class == ALL_CLASSES:
            names = [c for s, c in self.trace.routes_by_key if s == key.service]
        else:
            names = [key.route_class]
        faulty = any(target.is_faulty(name, at) for name in names)
        self.tally.changes.append(Change(at, vm, key, ejected, faulty))
        ejector = self.dispatchers_by_vm[vm].ejector
        live = ejector.live_by_service[key.service]
        for name in names:
            out = ejector.ejections_of(key.service, name)
            if ejected and not keeps_floor(
                len(live) - len(out), len(live), ejector.floor
            ):
                self.tally.floor_breaches += 1

    def run_all(self) -> None:
        """Start the tasks of the replay."""
        for index, dispatcher in enumerate(self.dispatchers_by_vm.values()):
            phase = index / len(self.dispatchers_by_vm)
            self.tasks.start_soon(self.tick_vm, dispatcher, phase * TICK_S)
            self.tasks.start_soon(self.send_digests, self.exchanges[index], phase)
        self.tasks.start_soon(self.run_events)
        if self.trace.arrivals:
            self.tasks.start_soon(self.run_recorded)

    async def tick_vm(self, dispatcher: Dispatcher, phase_s: float) -> None:
        """Let a VM do what time alone makes due."""
        await sleep(phase_s)
        while True:
            await sleep(TICK_S)
            dispatcher.tick(current_time())

    async def send_digests(self, exchange: DigestExchange, phase: float) -> None:
        """Send a VM's digests, each VM at its own moment."""
        await sleep(phase * 0.25)
        await exchange.run()

    async def run_events(self) -> None:
        """Apply the events of the trace at their times."""
        for event in self.trace.events:
            await sleep(max(0.0, event.at_s - self.now()))
            self.apply(event)

    def apply(self, event: Any) -> None:
        """Apply one event."""
        if isinstance(event, Arrivals):
            self.set_rate(event)
        elif isinstance(event, Behaviour):
            for target in self.targets_by_name.values():
                if target.line.name == event.service and (
                    not event.targets or target.name in event.targets
                ):
                    target.behave(event)
        elif isinstance(event, ListingLine):
            if self.store_available:
                self.tasks.start_soon(self.change_list, event)
            else:
                self.waiting_lists.append(event)
        elif isinstance(event, StoreLine):
            self.store_available = event.available
            if event.available:
                for line in self.waiting_lists:
                    self.tasks.start_soon(self.change_list, line)
                self.waiting_lists.clear()
        elif isinstance(event, NetworkLine):
            self.network.faults.loss_share = event.loss_share
            self.network.faults.cuts = {
                (sender, vm) for vm in event.deaf_vms for sender in self.places_by_vm
            }
            self.blind_vms = set(event.blind_vms)
        elif isinstance(event, LoadLine):
            self.load_version += 1
            self.tasks.start_soon(self.report_loads, event, self.load_version)

    async def change_list(self, event: ListingLine) -> None:
        """Change the list; VMs hear of it one after the other within the lag."""
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
        """Report loads until another line of the kind replaces this one."""
        reports: list[dict[str, int]] = []
        kept = max(1, round(event.lag_s / event.every_s) + 1)
        while version == self.load_version:
            now = self.now()
            busy = {name: item.busy(now) for name, item in self.targets_by_name.items()}
            reports = [*reports, busy][-kept:]
            for dispatcher in self.dispatchers_by_vm.values():
                for name, value in reports[0].items():
                    dispatcher.balancer.record_load(name, value, current_time())
            await sleep(event.every_s)

    def set_rate(self, event: Arrivals) -> None:
        """Replace the rate of a workspace on a route class."""
        key = (event.workspace, event.service, event.route_class)
        version = self.rates.get(key, 0) + 1
        self.rates[key] = version
        if event.rate > 0:
            self.tasks.start_soon(self.run_arrivals, event, key, version)

    async def run_arrivals(self, event: Arrivals, key: Any, version: int) -> None:
        """Start requests as a Poisson process until the rate changes."""
        vms = list(self.dispatchers_by_vm)
        route = self.trace.routes_by_key[(event.service, event.route_class)]
        random = Random(f"{self.trace.fleet.seed}/{key}/{version}")
        while True:
            await sleep(random.expovariate(event.rate))
            if self.stopping or self.rates[key] != version:
                return
            self.start_request(random.choice(vms), route, event.workspace, event.share)

    async def run_recorded(self) -> None:
        """Start the recorded requests at their times."""
        vms = list(self.dispatchers_by_vm)
        for arrival in self.trace.arrivals:
            await sleep(max(0.0, arrival.at_s - self.now()))
            self.start_recorded(arrival, vms)

    def start_recorded(self, arrival: Arrival, vms: list[str]) -> None:
        """Start one recorded request."""
        route = self.trace.routes_by_key[(arrival.service, arrival.route_class)]
        vm = self.random.choice(vms)
        self.start_request(vm, route, arrival.workspace, arrival.share)

    def start_request(
        self, vm: str, route: RouteLine, workspace: str, share: float
    ) -> None:
        """Start the task of one request."""
        self.running += 1
        self.tasks.start_soon(self.run_request, vm, route, workspace, share)

    async def run_request(
        self, vm: str, route: RouteLine, workspace: str, share: float
    ) -> None:
        """Run one request and count its end."""
        await self.carry_request(vm, route, workspace, share)
        self.running -= 1

    async def finish_requests(self) -> None:
        """Start no more requests and wait for the running ones, within a limit."""
        self.stopping = True
        limit_at = current_time() + DRAIN_LIMIT_S
        while self.running and current_time() < limit_at:
            await sleep(0.05)

    async def carry_request(
        self, vm: str, route: RouteLine, workspace: str, share: float
    ) -> None:
        """Carry one request with at most one retry, as the request path would."""
        started = current_time()
        measured = started - self.started_at >= self.warm_s
        self.tally.requests += measured
        dispatcher = self.dispatchers_by_vm[vm]
        deadline_at = started + route.deadline_s
        excluded: frozenset[str] = frozenset()
        for attempt in range(ATTEMPTS):
            if attempt:
                if not route.repeatable:
                    return
                if not dispatcher.budget.try_consume(route.service, current_time()):
                    self.tally.refusals["failed"] += measured
                    return
                self.tally.retries += measured
            demand = Demand(
                workspace,
                share,
                route.service,
                route.route_class,
                deadline_at,
                excluded,
                route.repeatable,
                route.download,
            )
            async with dispatcher.acquire(demand) as result:
                if result.is_error():
                    self.tally.refusals[result.error.code] += measured
                    return
                target = result.ok
                seen = await self.exchange(vm, target, route, deadline_at)
                dispatcher.observe(seen)
            if seen.outcome is Outcome.OK:
                dispatcher.budget.record_success(route.service, current_time())
                if measured:
                    latency_s = current_time() - started
                    self.tally.note_served(workspace, latency_s, route.download)
                return
            excluded |= {target.name}
        self.tally.refusals["failed"] += measured

    async def exchange(
        self, vm: str, target: Target, route: RouteLine, deadline_at: float
    ) -> Observation:
        """Send a request to a target and return what was seen."""
        place = self.places_by_vm[vm]
        if target.data_center == place.data_center:
            delay = NEAR_S
        else:
            delay = REGION_S if target.region == place.region else FAR_S
        started = current_time()
        at = self.now()
        answer = self.targets_by_name[target.name].answer(route.route_class, at + delay)
        outcome = Outcome.TIMEOUT
        if answer.after_s is None or vm in self.blind_vms:
            await sleep(max(0.0, deadline_at - started))
        else:
            with move_on_after(max(0.0, deadline_at - started)):
                await sleep(answer.after_s + 2 * delay)
                outcome = answer.outcome
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
    """Run a trace on the clock of the running event loop."""
    async with create_task_group() as tasks:
        replay = Replay(trace, profile, tasks)
        replay.build()
        replay.run_all()
        await sleep(end_of(trace))
        await replay.finish_requests()
        replay.tally.digest_bytes = sum(item.sent_bytes for item in replay.exchanges)
        replay.tally.sheds = sum(t.sheds for t in replay.targets_by_name.values())
        report = summarise(trace, replay.tally)
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
        Detector and thresholds, by default those of the trace's profile.
    inspect
        Called with the finished replay, for measurements.
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
