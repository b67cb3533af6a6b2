"""Follows what the store holds for this VM, and decides when to rely on other VMs."""

from collections.abc import Collection

from anyio import current_time, Event

from primroseturn.clock import time_since_boot
from primroseturn.entry.confirmations import ConfirmationLog
from primroseturn.entry.contact import LeaseTerms, StoreContact
from primroseturn.entry.eras import EraTrust, VERSION_RETURN_S
from primroseturn.entry.evacuations import EvacuationFollower
from primroseturn.entry.events import STORE_ERA_BEGUN, STORE_ERA_INVALID
from primroseturn.entry.metrics import INVALID_ERAS
from primroseturn.entry.polling import ConfigurationPoller, PollingPause
from primroseturn.entry.reliance import Reliance
from primroseturn.entry.target_following import TargetFollower
from primroseturn.entry.view import VmView
from primroseturn.failures import StoreUnavailable
from primroseturn.observation.events import EventLog
from primroseturn.platform.objects import ObjectClient, path_of
from primroseturn.platform.wire import EVACUATIONS_KIND

# Seconds in which a starting VM looks for a VM that already polls the store.
START_PAUSE_S = 1.5


class StoreFollower:
    """Keeps the view up to date from the store.

    Parameters
    ----------
    terms
        Times that decide whether a missing entry may have lapsed.
    confirmations
        Logs from whom confirmations of the configuration come.
    reliance
        Decides how long this VM relies on other VMs.
    data_centers
        The data centres of the settings. Entries of targets in others are invalid; with
        none, entries of all data centres are used.
    follows_evacuations
        Whether data centres may be evacuated in this deployment.

    Attributes
    ----------
    trust
        Whether readings of the store show the newest configuration.
    configuration
        Polls the configuration.
    targets
        Follows the list of targets.
    evacuations
        Follows the evacuations of data centres; None if there are none.
    updated
        Set when the configuration, the list of targets or the evacuations have changed.
    """

    def __init__(
        self,
        store: ObjectClient,
        view: VmView,
        events: EventLog,
        terms: LeaseTerms,
        confirmations: ConfirmationLog,
        reliance: Reliance,
        data_centers: Collection[str] = (),
        follows_evacuations: bool = False,
    ) -> None:
        self.store = store
        self.view = view
        self.events = events
        self.reliance = reliance
        self.polling_pause = PollingPause()
        self.polling_pause.extend(START_PAUSE_S)
        self.contact = StoreContact(events, terms)
        store.failure_listeners.append(self.record_failure)
        store.response_listeners.append(self.contact.record_response)
        store.era_listeners.append(self.begin_era)
        store.invalid_era_listeners.append(self.record_invalid_era)
        self.trust = EraTrust(events)
        self.configuration = ConfigurationPoller(
            store, view, events, confirmations, self.polling_pause, self.trust
        )
        self.targets = TargetFollower(
            store, view, events, self.contact, self.polling_pause, data_centers
        )
        view.follows_evacuations = follows_evacuations
        self.evacuations: EvacuationFollower | None = None
        if follows_evacuations:
            self.evacuations = EvacuationFollower(
                store, view, events, self.contact, self.polling_pause, data_centers
            )
        self.updated = Event()

    def record_failure(self, failure: StoreUnavailable) -> None:
        """Record a failed call of this VM to the store.

        A call for evacuations alone shows no outage: a store that fails these must not
        interrupt the following of targets.
        """
        if failure.operation != f"GET {path_of(EVACUATIONS_KIND)}":
            self.contact.record_failure(failure)

    def begin_era(self, era: int) -> None:
        """Prepare for lists of a store that has come back from an older copy.

        A VM that polls the store lists again at once; another one waits for the list of
        its store poller, so that the store does not get the calls of all VMs.
        """
        now = current_time()
        self.events.emit(STORE_ERA_BEGUN, era=era)
        self.configuration.believed_until = now + VERSION_RETURN_S
        booted_s = time_since_boot()
        self.trust.begin(era, self.view.age_s(booted_s), booted_s)
        self.targets.begin_era(era, now, self.trust.is_trusted)
        if self.evacuations is not None:
            self.evacuations.begin_era(now)
        self.updated.set()

    def record_invalid_era(self, reason: str, detail: str) -> None:
        """Count and log an era in an answer that can't be read or is too old."""
        INVALID_ERAS.labels(reason).inc()
        self.events.emit(STORE_ERA_INVALID, kind=reason, reason=detail)

    def reaches_store(self) -> bool:
        """Return whether this VM can state to others what the store holds.

        A VM to which the store responds cannot do so if its watch of the targets or of
        the evacuations fails.
        """
        if self.evacuations is not None and not self.evacuations.has_current_list():
            return False
        return self.contact.lost_at is None and self.targets.has_current_list()

    def rely_on_peer(self) -> None:
        """Pause polling for as long as this VM may rely on another VM's replies."""
        age_s = self.view.read_age_s(time_since_boot())
        self.polling_pause.extend(self.reliance.left_s(age_s))

    async def wait_update(self) -> None:
        """Wait until the configuration, the targets or the evacuations have changed."""
        await self.updated.wait()
        self.updated = Event()
