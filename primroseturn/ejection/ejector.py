"""Ejects targets within the floor and returns them after successful trials."""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from primroseturn.detection.evidence import ALL_CLASSES, EvidenceKey
from primroseturn.detection.profiles import Profile
from primroseturn.ejection.events import (
    EJECTION_HELD_BY_FLOOR,
    TARGET_EJECTED,
    TARGET_RETURNED,
)
from primroseturn.ejection.floor import keeps_floor, targets_to_return
from primroseturn.failures import Failure

# At the floor, a newly suspected target replaces the least suspected ejected one if its
# suspicion is at least this multiple of the suspicion of that one.
SWAP_FACTOR = 1.5
# The backoff of a target doubles with each ejection or failed trial within this time of
# the previous one, at most `RECENT_EJECTIONS_LIMIT` times.
RECENT_EJECTION_S = 600.0
RECENT_EJECTIONS_LIMIT = 6
TRIALS_NEEDED = 3
TRIAL_GAP_S = 0.1
TRIAL_TIMEOUT_S = 10.0
RAMP_S = 10.0
RAMP_START_FRACTION = 0.1


class FloorReached(Failure):
    """An ejection would leave too few targets in rotation."""

    code = "floor-reached"

    def __init__(self, key: EvidenceKey) -> None:
        super().__init__(f"ejecting {key.target!r} would breach the floor")
        self.key = key


class NotInRotation(Failure):
    """The target is ejected already, or not listed as live."""

    code = "already-ejected"

    def __init__(self, key: EvidenceKey) -> None:
        super().__init__(f"target {key.target!r} is not in rotation")
        self.key = key


class Ejection:
    """A target that is out of rotation for one or all route classes.

    Attributes
    ----------
    suspicion
        Suspicion of the target when it was ejected, at least 1.
    ejected_at
        Monotonic time in seconds of the ejection.
    trial_due_at
        Monotonic time in seconds from which the next trial may be sent. A failed
        trial delays it.
    trials_passed
        Number of successful trials since the ejection or the last failed trial.
    """

    def __init__(
        self, key: EvidenceKey, suspicion: float, now: float, trial_due_at: float
    ) -> None:
        self.key = key
        self.suspicion = suspicion
        self.ejected_at = now
        self.trial_due_at = trial_due_at
        self.trials_passed = 0
        self.trial_started_at = float("-inf")
        self.is_trial_running = False


class RecentEjections(NamedTuple):
    """Number of recent ejections and failed trials, and the time of the last one."""

    count: int
    at: float


class Ejector:
    """Decides which targets are in rotation at this VM.

    Parameters
    ----------
    profile
        Gives the backoff before trials.
    floor
        Fraction of a service's live targets that stays in rotation.
    clear_evidence
        Called with the key of each ejection that ends with the target's return.
    """

    def __init__(
        self,
        profile: Profile,
        floor: float,
        clear_evidence: Callable[[EvidenceKey], None],
    ) -> None:
        self.profile = profile
        self.floor = floor
        self.clear_evidence = clear_evidence
        self.live_by_service: dict[str, set[str]] = {}
        self.ejections_by_key: dict[EvidenceKey, Ejection] = {}
        self.recent_ejections_by_key: dict[EvidenceKey, RecentEjections] = {}
        self.ramp_started_by_target: dict[tuple[str, str], float] = {}
        self.listeners: list[Callable[[Any, EvidenceKey, float], None]] = []

    def set_live_targets(self, service: str, live: Iterable[str], now: float) -> None:
        """Set the live targets of a service; the load of new ones is ramped up."""
        targets = set(live)
        known = self.live_by_service.get(service)
        self.live_by_service[service] = targets
        if known is not None:
            for target in targets - known:
                self.ramp_started_by_target[(service, target)] = now
        for key in list(self.ejections_by_key):
            if key.service == service and key.target not in targets:
                del self.ejections_by_key[key]
        self.restore_floor(service, now)

    def set_floor(self, floor: float, now: float) -> None:
        """Set the floor of the preset in force."""
        self.floor = floor
        for service in self.live_by_service:
            self.restore_floor(service, now)

    def ejections_of(self, service: str, route_class: str) -> dict[str, Ejection]:
        """Return the ejections that apply to a route class, by target."""
        if not self.ejections_by_key:
            return {}
        return {
            key.target: ejection
            for key, ejection in self.ejections_by_key.items()
            if key.service == service and key.route_class in (route_class, ALL_CLASSES)
        }

    def ejected_scopes(self, service: str) -> set[str]:
        """Return the scopes (route classes or `ALL_CLASSES`) with ejections."""
        return {k.route_class for k in self.ejections_by_key if k.service == service}

    def ejected_suspicions(self, service: str, scope: str) -> dict[str, float]:
        """Return the suspicions of ejections that overlap with a scope, by target."""
        suspicions: dict[str, float] = {}
        for key, ejection in self.ejections_by_key.items():
            if key.service == service and (
                scope == ALL_CLASSES or key.route_class in (scope, ALL_CLASSES)
            ):
                suspicions[key.target] = max(
                    suspicions.get(key.target, 0.0), ejection.suspicion
                )
        return suspicions

    def eject(
        self, key: EvidenceKey, suspicion: float, now: float
    ) -> Result[None, Failure]:
        """Take a target out of rotation if the floor allows it."""
        live = self.live_by_service.get(key.service, set())
        if key.target not in live:
            return Error(NotInRotation(key))
        if key.target in self.ejections_of(key.service, key.route_class):
            return Error(NotInRotation(key))
        suspicions_by_target = self.ejected_suspicions(key.service, key.route_class)
        suspicions_by_target.pop(key.target, None)
        if not keeps_floor(
            len(live) - len(suspicions_by_target) - 1, len(live), self.floor
        ):
            least_suspected = min(
                suspicions_by_target,
                key=lambda name: (suspicions_by_target[name], name),
                default=None,
            )
            if (
                least_suspected is None
                or suspicion < SWAP_FACTOR * suspicions_by_target[least_suspected]
            ):
                self.notify_listeners(EJECTION_HELD_BY_FLOOR, key, now)
                return Error(FloorReached(key))
            self.end_all_ejections(key.service, least_suspected, now)
        self.record_ejection(key, suspicion, now)
        return Ok(None)

    def record_ejection(self, key: EvidenceKey, suspicion: float, now: float) -> None:
        """Add an ejection with its backoff."""
        for old in list(self.ejections_by_key):
            # An ejection for all classes replaces those for single ones.
            if key.route_class == ALL_CLASSES and old[:2] == key[:2]:
                del self.ejections_by_key[old]
        self.ejections_by_key[key] = Ejection(
            key, suspicion, now, now + self.next_backoff_s(key, now)
        )
        self.notify_listeners(TARGET_EJECTED, key, now)

    def next_backoff_s(self, key: EvidenceKey, now: float) -> float:
        """Count an ejection or failed trial, and return the backoff in seconds.

        The backoff is doubled for each recent one before it.
        """
        recent = self.recent_ejections_by_key.get(key, RecentEjections(0, now))
        count = recent.count if now - recent.at < RECENT_EJECTION_S else 0
        self.recent_ejections_by_key[key] = RecentEjections(
            min(count + 1, RECENT_EJECTIONS_LIMIT), now
        )
        return self.profile.backoff_s * 2.0**count

    def due_trial_key(
        self, service: str, route_class: str, now: float
    ) -> EvidenceKey | None:
        """Return the key of an ejected target that is due for a trial, if any."""
        for ejection in self.ejections_of(service, route_class).values():
            is_timed_out = now - ejection.trial_started_at > TRIAL_TIMEOUT_S
            has_no_trial = is_timed_out or not ejection.is_trial_running
            is_gap_over = now - ejection.trial_started_at >= TRIAL_GAP_S
            if now >= ejection.trial_due_at and has_no_trial and is_gap_over:
                return ejection.key
        return None

    def begin_trial(self, key: EvidenceKey, now: float) -> None:
        """Record the start of a trial request."""
        ejection = self.ejections_by_key[key]
        ejection.is_trial_running = True
        ejection.trial_started_at = now

    def end_trial(self, key: EvidenceKey) -> None:
        """Record the end of a trial request, which may have had no outcome."""
        ejection = self.ejections_by_key.get(key)
        if ejection is not None:
            ejection.is_trial_running = False

    def record_outcome(
        self, service: str, target: str, route_class: str, bad: bool, now: float
    ) -> None:
        """Count an outcome as a trial if the target is ejected and due for one."""
        for scope in (route_class, ALL_CLASSES):
            ejection = self.ejections_by_key.get(EvidenceKey(service, target, scope))
            if ejection is None or now < ejection.trial_due_at:
                continue
            if bad:
                ejection.trials_passed = 0
                ejection.trial_due_at = now + self.next_backoff_s(ejection.key, now)
                continue
            ejection.trials_passed += 1
            if ejection.trials_passed >= TRIALS_NEEDED:
                self.return_target(ejection.key, now)

    def return_target(self, key: EvidenceKey, now: float) -> None:
        """End one ejection of a target and start to ramp up the target's load."""
        del self.ejections_by_key[key]
        self.ramp_started_by_target[(key.service, key.target)] = now
        self.clear_evidence(key)
        self.notify_listeners(TARGET_RETURNED, key, now)

    def end_all_ejections(self, service: str, target: str, now: float) -> None:
        """End all ejections of a target."""
        for key in list(self.ejections_by_key):
            if key.service == service and key.target == target:
                self.return_target(key, now)

    def restore_floor(self, service: str, now: float) -> None:
        """Return as many of the least suspected targets as the floor needs."""
        live = self.live_by_service.get(service, set())
        for scope in self.ejected_scopes(service):
            ejections = self.ejections_of(service, scope)
            suspicions = {
                name: ejection.suspicion for name, ejection in ejections.items()
            }
            for target in targets_to_return(suspicions, live, self.floor):
                self.end_all_ejections(service, target, now)

    def load_fraction(self, service: str, target: str, now: float) -> float:
        """Return the fraction of its normal load that a target gets, at most 1.

        It is below 1 while the load of a new or returned target is ramped up.
        """
        started = self.ramp_started_by_target.get((service, target))
        if started is None:
            return 1.0
        if now - started >= RAMP_S:
            del self.ramp_started_by_target[(service, target)]
            return 1.0
        return (
            RAMP_START_FRACTION + (1.0 - RAMP_START_FRACTION) * (now - started) / RAMP_S
        )

    def notify_listeners(self, event: Any, key: EvidenceKey, now: float) -> None:
        """Call the listeners with an event about a target."""
        for listener in self.listeners:
            listener(event, key, now)
