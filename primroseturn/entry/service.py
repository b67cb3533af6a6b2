"""Kernel services of an entry VM.

They are the components of its process, not the services of upstreams.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from anyio import CancelScope, current_time, sleep
from httpx import AsyncClient, Limits

import primroseturn.entry.health  # noqa: F401, registers its services
from primroseturn.control.datagrams import DatagramBus, run_datagram_bus
from primroseturn.control.zeromq import PeerAddress, run_bus, ZeromqBus
from primroseturn.entry.admitting import Admitting
from primroseturn.entry.application import EntryApplication
from primroseturn.entry.configuration_checks import ConfigurationChecks
from primroseturn.entry.confirmations import ConfirmationLog
from primroseturn.entry.connections import run_target_pools
from primroseturn.entry.contact import LeaseTerms
from primroseturn.entry.digests import DigestExchange
from primroseturn.entry.era_record import EraRecord
from primroseturn.entry.events import (
    ENTRY_STARTED,
    ENTRY_STOPPED,
    ENTRY_STOPPING,
    TARGET_COLD,
    WORKSPACE_LIMIT_INVALID,
)
from primroseturn.entry.following import StoreFollower
from primroseturn.entry.forwarding import Forwarder
from primroseturn.entry.memory import MemoryBudget
from primroseturn.entry.models import Configuration
from primroseturn.entry.registry import VmRegistry
from primroseturn.entry.reliance import Reliance
from primroseturn.entry.sharing import ViewSharing
from primroseturn.entry.stopping import StopSchedule
from primroseturn.entry.view import VmView
from primroseturn.kernel.background import contain_errors, run_background
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.limits.metrics import INVALID_LIMITS
from primroseturn.limits.quota import FleetQuota
from primroseturn.limits.window import QuotaTerms
from primroseturn.membership.fleet import Fleet, RegisteredVm
from primroseturn.platform.objects import ObjectClient
from primroseturn.retries.repeats import RepeatBudget
from primroseturn.routing.cold import cold_bound_of
from primroseturn.routing.models import Target
from primroseturn.routing.placement import Placement
from primroseturn.serving.asgi import serve_application
from primroseturn.serving.descriptors import ConnectionLimit

STORE_CALL_LIMIT_S = 0.8
HEADER_LIMIT_BYTES = 65_536
# Targets of a service in a data centre, on average, from which their load is kept even
# by sending little elsewhere. Of fewer, one that fails is too large a part: with 7,
# 0.904 instead of 0.932 was served on a day with failing targets.
MIN_TARGETS_PER_CENTER = 8
# Fraction of the usable descriptors for connections of callers. The rest is for the
# readiness address and for connections to targets, one for each running request.
CALLERS_SHARE = 0.45


@service("objects", needs=("settings",))
@asynccontextmanager
async def provide_objects(kernel: Kernel) -> AsyncIterator[ObjectClient]:
    """Provide the client of the store's object API."""
    url = kernel.find("settings").store_url
    limits = Limits(max_connections=8, max_keepalive_connections=4)
    async with AsyncClient(base_url=url, limits=limits) as http:
        yield ObjectClient(http, STORE_CALL_LIMIT_S)


@service("view", needs=("settings",))
@asynccontextmanager
async def provide_view(kernel: Kernel) -> AsyncIterator[VmView]:
    """Provide the configuration and targets that are in force on this VM."""
    yield VmView(kernel.find("settings").bounds.revoked_key_limit_s)


@service("follower", needs=("objects", "view", "events", "settings"))
@asynccontextmanager
async def provide_follower(kernel: Kernel) -> AsyncIterator[StoreFollower]:
    """Follow the configuration and targets in the store for the life of the context."""
    settings, events = kernel.find("settings"), kernel.find("events")
    bounds = settings.bounds
    checks = ConfigurationChecks(events, settings.regions_by_data_center.values())
    kernel.find("view").configuration_listeners.append(checks.report)
    follower = StoreFollower(
        kernel.find("objects"),
        kernel.find("view"),
        events,
        LeaseTerms(settings.heartbeat_s, bounds.stable_s),
        ConfirmationLog(events, bounds.version_limit_s),
        Reliance(
            bounds.version_limit_s, bounds.leaving_limit_s, bounds.evacuation_limit_s
        ),
        settings.regions_by_data_center,
        follows_evacuations=bounds.evacuation_limit_s is not None,
    )
    async with run_background(events) as background:
        background.keep_running(follower.configuration.follow_configuration)
        background.keep_running(follower.targets.follow_targets)
        background.keep_running(follower.targets.lapsed.drop_forever)
        if follower.evacuations is not None:
            background.keep_running(follower.evacuations.follow_evacuations)
            background.keep_running(follower.evacuations.drop_forever)
        yield follower


@service("placement", needs=("settings", "view", "events"))
@asynccontextmanager
async def provide_placement(kernel: Kernel) -> AsyncIterator[Placement]:
    """Provide the placement of requests, which is updated with the listed targets."""
    settings = kernel.find("settings")
    placement = Placement(
        settings.identity.data_center, settings.regions_by_data_center
    )
    view, events = kernel.find("view"), kernel.find("events")
    placement.cold.set_bound(
        cold_bound_of(settings.bounds.cold_overage, settings.bounds.cold_slack)
    )

    def apply_configuration(configuration: Configuration) -> None:
        placement.cold.set_limits(configuration.cold_limits_by_service)
        has_evacuations = settings.bounds.evacuation_limit_s is not None
        placement.set_even_load(
            has_evacuations or configuration.has_ranks,
            0 if has_evacuations else MIN_TARGETS_PER_CENTER,
        )

    def log_cold(target: Target, reason: str, cold_s: float) -> None:
        events.emit(TARGET_COLD, target=target.id, reason=reason, cold_s=cold_s)

    placement.cold.listeners.append(log_cold)
    view.configuration_listeners.append(apply_configuration)
    view.target_listeners.append(
        lambda targets: placement.update_targets(targets.values(), current_time())
    )
    view.evacuation_listeners.append(
        lambda evacuated: placement.set_evacuated(evacuated, current_time())
    )
    if settings.bounds.evacuation_limit_s is not None:
        # Until a starting VM knows the evacuations, any data centre may be evacuated.
        evacuated = frozenset(settings.regions_by_data_center)
        if view.evacuated is not None:
            evacuated = view.evacuated
        placement.set_evacuated(evacuated, current_time())
    yield placement


@service("load-admission", needs=("placement", "view", "events"))
@asynccontextmanager
async def provide_admission(kernel: Kernel) -> AsyncIterator[Admitting]:
    """Provide the admission under load, updated with the configuration."""
    events = kernel.find("events")
    admitting = Admitting(kernel.find("placement"), events)
    kernel.find("view").configuration_listeners.append(admitting.apply_configuration)
    async with run_background(events) as background:
        background.keep_running(admitting.sample_forever)
        yield admitting


@service("arrivals", needs=("settings",))
@asynccontextmanager
async def provide_arrivals(kernel: Kernel) -> AsyncIterator[RepeatBudget]:
    """Provide the budget of repeats, that is, of retries and hedges."""
    bounds = kernel.find("settings").bounds
    yield RepeatBudget(bounds.repeat_ratio, bounds.repeat_window_s, bounds.repeat_extra)


@service("memory", needs=("settings", "events", "view"))
@asynccontextmanager
async def provide_memory(kernel: Kernel) -> AsyncIterator[MemoryBudget]:
    """Provide the bound of the memory of requests, and sample their progress."""
    events, view = kernel.find("events"), kernel.find("view")
    budget = MemoryBudget(kernel.find("settings").memory_bytes, events)

    def hold_documents(_: object) -> None:
        size = len(view.document_for(0).data) if view.version else 0
        budget.hold_documents(size, len(view.targets_by_id))

    view.configuration_listeners.append(hold_documents)
    view.target_listeners.append(hold_documents)
    async with run_background(events) as background:
        background.keep_running(budget.sample_forever)
        yield budget


@service("quota", needs=("view", "settings", "events"))
@asynccontextmanager
async def provide_quota(kernel: Kernel) -> AsyncIterator[FleetQuota]:
    """Provide the rate limits of workspaces, updated with the configuration."""
    bounds, events = kernel.find("settings").bounds, kernel.find("events")
    quota = FleetQuota(
        terms=QuotaTerms(
            bounds.quota_window_s, bounds.quota_overage, bounds.quota_slack
        )
    )

    def apply_configuration(configuration: Configuration) -> None:
        quota.set_workspaces(
            configuration.workspaces_by_name, current_time(), configuration.has_ranks
        )
        for workspace in configuration.workspaces_by_name.values():
            if workspace.problem is not None:
                problem = workspace.problem.value
                INVALID_LIMITS.labels(problem).inc()
                events.emit(
                    WORKSPACE_LIMIT_INVALID, workspace=workspace.name, kind=problem
                )

    kernel.find("view").configuration_listeners.append(apply_configuration)
    yield quota


@service("peers", needs=("settings", "events"))
@asynccontextmanager
async def provide_peers(kernel: Kernel) -> AsyncIterator[ZeromqBus]:
    """Provide the ZeroMQ bus between the VMs, for messages that exceed a datagram."""
    settings, events = kernel.find("settings"), kernel.find("events")
    async with run_bus(
        settings.identity.vm,
        events.incarnation,
        settings.peers.host,
        settings.peers.port,
        events=events,
    ) as bus:
        yield bus


@service("datagrams", needs=("settings", "peers", "events"))
@asynccontextmanager
async def provide_datagrams(kernel: Kernel) -> AsyncIterator[DatagramBus]:
    """Provide the datagram bus between the VMs, on the ZeroMQ bus's port number."""
    host = kernel.find("settings").peers.host
    port = kernel.find("peers").port
    async with run_datagram_bus(kernel.find("events"), host, port) as bus:
        yield bus


@service("fleet", needs=("settings", "peers"))
@asynccontextmanager
async def provide_fleet(kernel: Kernel) -> AsyncIterator[Fleet]:
    """Provide the state of the fleet as this VM knows it."""
    settings = kernel.find("settings")
    identity, peers = settings.identity, settings.peers
    yield Fleet(
        RegisteredVm(
            identity.vm,
            peers.host,
            kernel.find("peers").port,
            identity.data_center,
            identity.region,
        )
    )


@service(
    "digest-exchange",
    needs=("datagrams", "fleet", "placement", "quota", "load-admission", "events"),
)
@asynccontextmanager
async def provide_digests(kernel: Kernel) -> AsyncIterator[DigestExchange]:
    """Send and receive fleet digests for the life of the context."""
    exchange = DigestExchange(
        kernel.find("datagrams"),
        kernel.find("fleet"),
        kernel.find("placement"),
        kernel.find("quota"),
        kernel.find("load-admission"),
    )
    async with run_background(kernel.find("events")) as background:
        background.keep_running(exchange.send_forever)
        yield exchange


@service("sharing", needs=("datagrams", "peers", "fleet", "view", "follower", "events"))
@asynccontextmanager
async def provide_sharing(kernel: Kernel) -> AsyncIterator[ViewSharing]:
    """Share the view of the store within the data centre."""
    sharing = ViewSharing(
        kernel.find("datagrams"),
        kernel.find("peers"),
        kernel.find("fleet"),
        kernel.find("view"),
        kernel.find("follower"),
        kernel.find("events"),
    )
    async with run_background(kernel.find("events")) as background:
        background.keep_running(sharing.ask_forever)
        background.keep_running(sharing.push_forever)
        background.keep_running(sharing.warn_forever)
        background.keep_running(sharing.fetch_forever)
        yield sharing


@service(
    "vm-registry",
    needs=(
        "objects",
        "follower",
        "fleet",
        "peers",
        "datagrams",
        "placement",
        "quota",
        "arrivals",
        "digest-exchange",
        "events",
    ),
)
@asynccontextmanager
async def provide_registry(kernel: Kernel) -> AsyncIterator[VmRegistry]:
    """Register this VM and follow the list of all VMs."""
    buses = (kernel.find("peers"), kernel.find("datagrams"))
    fleet, exchange = kernel.find("fleet"), kernel.find("digest-exchange")
    quota, budget = kernel.find("quota"), kernel.find("arrivals")

    placement = kernel.find("placement")

    def apply_owners(_: RegisteredVm | None = None) -> None:
        if fleet.has_list:
            vms = (fleet.own, *fleet.vms_by_name.values())
            centers_by_vm = {vm.name: vm.data_center for vm in vms}
            placement.cold.set_vms(fleet.own.name, centers_by_vm, current_time())

    def set_address(vm: RegisteredVm) -> None:
        for bus in buses:
            bus.set_address(vm.name, PeerAddress(vm.host, vm.port))

    def apply_vms(vms: list[RegisteredVm]) -> None:
        for name in fleet.apply_list(vms, current_time()):
            for bus in buses:
                bus.remove_address(name)
        for vm in fleet.vms_by_name.values():
            set_address(vm)
        apply_owners()
        if fleet.is_starting(current_time()):
            exchange.announce(current_time())
        quota.fleet_size = fleet.size
        # Stopping VMs may still send repeats, so all registered VMs share the budget.
        budget.fleet_size = fleet.registered_count

    exchange.start_listeners.extend((set_address, apply_owners))
    quota.fleet_size, budget.fleet_size = fleet.size, fleet.registered_count
    events = kernel.find("events")
    store, trust = kernel.find("objects"), kernel.find("follower").trust
    registry = VmRegistry(store, fleet, events, apply_vms, trust)
    async with run_background(events) as background:
        background.keep_running(registry.follow)
        background.keep_running(registry.write_again_forever)
        yield registry


@service("era-record", needs=("settings", "objects", "follower", "vm-registry"))
@asynccontextmanager
async def provide_era_record(kernel: Kernel) -> AsyncIterator[EraRecord]:
    """Read and write the record of the settled era for the life of the context."""
    events = kernel.find("events")
    record = EraRecord(
        kernel.find("objects"),
        kernel.find("follower").trust,
        kernel.find("vm-registry"),
        events,
        kernel.find("settings").is_first_start,
    )
    async with run_background(events) as background:
        background.keep_running(record.follow_eras)
        yield record


@service("stop-schedule", needs=("settings",))
@asynccontextmanager
async def provide_stop_schedule(kernel: Kernel) -> AsyncIterator[StopSchedule]:
    """Provide the time that requests have during a planned stop."""
    yield StopSchedule(kernel.find("settings").bounds.stop_limit_s)


@service(
    "entry",
    needs=(
        "settings",
        "stop-schedule",
        "events",
        "view",
        "follower",
        "placement",
        "load-admission",
        "arrivals",
        "quota",
        "digest-exchange",
        "sharing",
        "vm-registry",
        "era-record",
        "memory",
        "entry-readiness",
        "entry-metrics",
    ),
)
@asynccontextmanager
async def provide_entry(kernel: Kernel) -> AsyncIterator[int]:
    """Serve callers and provide the port.

    When stopping, the VM first reports that it is not ready. It serves callers until
    the load balancer has noticed, then closes the listener and waits for requests in
    flight.
    """
    settings, events = kernel.find("settings"), kernel.find("events")
    view, readiness = kernel.find("view"), kernel.find("entry-readiness")
    stop = kernel.find("stop-schedule")
    registry, memory = kernel.find("vm-registry"), kernel.find("memory")
    async with (
        run_background(events) as background,
        run_target_pools(view, kernel.find("fleet"), events) as pools,
    ):
        forwarder = Forwarder(
            kernel.find("placement"),
            pools,
            kernel.find("arrivals"),
            kernel.find("digest-exchange"),
            events,
            lambda request: application.may_send(request),
            kernel.find("load-admission"),
        )
        contact = kernel.find("follower").contact
        application = EntryApplication(
            view,
            forwarder,
            kernel.find("quota"),
            events,
            stop,
            store_responds=lambda: contact.lost_at is None,
            memory=memory,
        )
        async with serve_application(
            application,
            settings.callers.host,
            settings.callers.port,
            finish_timeout_s=lambda: stop.finish_s,
            header_limit_bytes=HEADER_LIMIT_BYTES,
            events=events,
            connection_meter=ConnectionLimit(
                CALLERS_SHARE, meter=memory, make_room=memory.end_stalled_upload
            ),
        ) as port:
            events.emit(ENTRY_STARTED, port=port)
            try:
                yield port
            finally:
                # Also runs when another kernel service has failed and the process ends.
                stop.begin(current_time())
                readiness.is_stopping = True
                with contain_errors(events, "DigestExchange.announce"):
                    kernel.find("digest-exchange").announce(
                        current_time(), is_stopping=True
                    )
                events.emit(ENTRY_STOPPING)
                with CancelScope(shield=True):
                    await sleep(stop.listen_s)
                # Runs while requests in flight finish, since a call may take long.
                background.start_soon(registry.unregister)
    events.emit(ENTRY_STOPPED)
