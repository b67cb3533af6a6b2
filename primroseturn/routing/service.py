"""Kernel services that match routes and choose targets."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from ssl import create_default_context

from anyio import current_time, sleep
from httpx import AsyncClient

from primroseturn.configuration.state import ConfigurationState
from primroseturn.detection.evidence import EvidenceKey
from primroseturn.detection.profiles import profiles_by_name
from primroseturn.ejection.events import PATH_SUSPECTED
from primroseturn.kernel.background import run_background
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.membership.listing import Listing
from primroseturn.observation.catalogue import Event
from primroseturn.observation.events import EventLog
from primroseturn.queueing.events import QUEUE_REFUSED
from primroseturn.queueing.queue import QueueRefused
from primroseturn.retries.budget import RetryBudget
from primroseturn.retries.hedging import Hedging
from primroseturn.routing.assembly import assemble_dispatcher
from primroseturn.routing.dispatcher import Dispatcher, SlotRequest
from primroseturn.routing.loads import LoadPoller, POLL_TIMEOUT_S
from primroseturn.routing.router import Router
from primroseturn.routing.subset import Locality

TICK_S = 0.05


class Ticker:
    """Calls `Dispatcher.tick` every `TICK_S`."""

    def __init__(self, dispatcher: Dispatcher, events: EventLog) -> None:
        self.dispatcher = dispatcher
        self.events = events
        self.path_suspected = False

    async def tick_forever(self) -> None:
        """Call `Dispatcher.tick`, and emit an event when the path suspicion changes."""
        while True:
            await sleep(TICK_S)
            self.dispatcher.tick(current_time())
            if self.dispatcher.monitor.path_suspected != self.path_suspected:
                self.path_suspected = not self.path_suspected
                self.events.emit(PATH_SUSPECTED, suspected=self.path_suspected)


def apply_configuration(
    dispatcher: Dispatcher, listing: Listing, state: ConfigurationState
) -> None:
    """Apply a new configuration to the dispatcher and its metered link."""
    now = current_time()
    dispatcher.apply_configuration(state, None, now)
    vms = max(1, len(listing.daemons_by_vm))
    link_bytes_per_s = state.preset_in_force.paid_link_bytes_per_s / vms
    dispatcher.balancer.link.set_rate(link_bytes_per_s, now)


@service("dispatcher", needs=("settings", "events", "replica", "listing"))
@asynccontextmanager
async def provide_dispatcher(kernel: Kernel) -> AsyncIterator[Dispatcher]:
    """Provide the dispatcher, which chooses targets."""
    identity = kernel.find("settings").identity
    events = kernel.find("events")
    listing, replica = kernel.find("listing"), kernel.find("replica")
    preset = replica.state.preset_in_force
    dispatcher = assemble_dispatcher(
        listing,
        Locality(identity.vm, identity.data_center, identity.region),
        profiles_by_name[preset.profile],
        preset.floor,
        preset.paid_link_bytes_per_s,
        Random(),
        current_time(),
    )

    def emit_ejection(event: Event, key: EvidenceKey, now: float) -> None:
        events.emit(event, **key._asdict())

    def emit_refusal(slot_request: SlotRequest, refusal: QueueRefused) -> None:
        events.emit(
            QUEUE_REFUSED,
            workspace=slot_request.workspace,
            service=slot_request.service,
            reason=refusal.reason,
        )

    dispatcher.ejector.listeners.append(emit_ejection)
    dispatcher.refusal_listeners.append(emit_refusal)
    for name in list(listing.targets_by_service):
        dispatcher.apply_listing(listing, name, current_time())
    listing.subscribe(
        lambda name: dispatcher.apply_listing(listing, name, current_time())
    )
    apply_configuration(dispatcher, listing, replica.state)
    replica.subscribe(lambda state: apply_configuration(dispatcher, listing, state))
    async with run_background(events) as background:
        background.keep_running(Ticker(dispatcher, events).tick_forever)
        yield dispatcher


@service("retries", needs=("dispatcher",))
@asynccontextmanager
async def provide_retries(kernel: Kernel) -> AsyncIterator[RetryBudget]:
    """Provide the retry budget."""
    yield kernel.find("dispatcher").budget


@service("hedging", needs=("dispatcher",))
@asynccontextmanager
async def provide_hedging(kernel: Kernel) -> AsyncIterator[Hedging]:
    """Provide the hedging of requests."""
    yield kernel.find("dispatcher").hedging


@service("router", needs=("replica",))
@asynccontextmanager
async def provide_router(kernel: Kernel) -> AsyncIterator[Router]:
    """Provide the router for the configuration in force."""
    router = Router()
    replica = kernel.find("replica")
    replica.subscribe(lambda state: router.install(state.routes_by_name))
    yield router


@service("loads", needs=("settings", "events", "dispatcher"))
@asynccontextmanager
async def provide_loads(kernel: Kernel) -> AsyncIterator[LoadPoller | None]:
    """Poll the loads of targets if the settings have the path of the endpoint."""
    settings = kernel.find("settings").upstreams
    if settings.load_path is None:
        yield None
        return
    trust = create_default_context(cafile=settings.ca_file)
    async with (
        AsyncClient(timeout=POLL_TIMEOUT_S, trust_env=False, verify=trust) as http,
        run_background(kernel.find("events")) as background,
    ):
        poller = LoadPoller(
            kernel.find("dispatcher").balancer,
            http,
            settings.load_path,
            settings.load_interval_s,
            background,
        )
        background.keep_running(poller.run)
        yield poller
