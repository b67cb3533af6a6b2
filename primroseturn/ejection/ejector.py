"""Ejects targets within the floor and admits them again after trials."""

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

# A target replaces an ejected one below the floor only if it is clearly worse.
SWAP_FACTOR = 1.5
FLAP_MEMORY_S = 600.0
FLAP_LIMIT = 6
TRIALS_NEEDED = 3
TRIAL_GAP_S = 0.1
TRIAL_LIFE_S = 10.0
RAMP_S = 10.0
RAMP_START = 0.1


class FloorReached(Failure):
    """An ejection would leave too few slots in rotation."""

    code = "floor-reached"

    def __init__(self, key: EvidenceKey) -> None:
        super().__init__(f"ejecting {key.target!r} would breach the floor")
        self.key = key


class AlreadyEjected(Failure):
    """The target is out of rotation already."""

    code = "already-ejected"

    def __init__(self, key: EvidenceKey) -> None:
        super().__init__(f"target {key.target!r} is ejected already")
        self.key = key


class Ejection:
    """A target that is out of rotation for a scope."""

    def __init__(
        self, key: EvidenceKey, score: float, now: float, until: float
    ) -> None:
        self.key = key
        self.score = score
        self.since = now
        self.until = until
        self.trials_passed = 0
        self.trial_started_at = float("-inf")
        self.trial_running = False


class Flaps(NamedTuple):
    """Ejections of a target in a row, and when the last one was."""

    count: int
    at: float


class Ejector:
    """Decides which targets are in rotation, in this VM's own view.

    Parameters
    ----------
    profile
        Gives the backoff before trials.
    floor
        Fraction of a service's live slots that stays in rotation.
    restart
        Called with the key of each target that returns into rotation.
    """

    def __init__(
        self, profile: Profile, floor: float, restart: Callable[[EvidenceKey], None]
    ) -> None:
        self.profile = profile
        self.floor = floor
        self.restart = restart
        self.live_by_service: dict[str, set[str]] = {}
        self.ejections_by_key: dict[EvidenceKey, Ejection] = {}
        self.flaps_by_key: dict[EvidenceKey, Flaps] = {}
        self.ramps_by_target: dict[tuple[str, str], float] = {}
        self.listeners: list[Callable[[Any, EvidenceKey, float], None]] = []

    def set_live_targets(self, service: str, live: Iterable[str], now: float) -> None:
        """Take over the live targets of a service. New ones start cold."""
        targets = set(live)
        known = self.live_by_service.get(service)
        self.live_by_service[service] = targets
        if known is not None:
            for target in targets - known:
                self.ramps_by_target[(service, target)] = now
        for key in list(self.ejections_by_key):
            if key.service == service and key.target not in targets:
                del self.ejections_by_key[key]
        self.restore_floor(service, now)

    def set_floor(self, floor: float, now: float) -> None:
        """Take over the floor of the preset in force."""
        self.floor = floor
        for service in self.live_by_service:
            self.restore_floor(service, now)

    def ejections_of(self, service: str, route_class: str) -> dict[str, Ejection]:
        """Return the ejections that count for a route class, by target."""
        if not self.ejections_by_key:
            return {}
        return {
            key.target: ejection
            for key, ejection in self.ejections_by_key.items()
            if key.service == service and key.route_class in (route_class, ALL_CLASSES)
        }

    def scopes_of(self, service: str) -> set[str]:
        """Return the scopes with ejections of a service."""
        return {k.route_class for k in self.ejections_by_key if k.service == service}

    def out_for(self, service: str, scope: str) -> dict[str, float]:
        """Return the scores of the targets that are out in any part of a scope."""
        scores: dict[str, float] = {}
        for key, ejection in self.ejections_by_key.items():
            if key.service == service and (
                scope == ALL_CLASSES or key.route_class in (scope, ALL_CLASSES)
            ):
                scores[key.target] = max(scores.get(key.target, 0.0), ejection.score)
        return scores

    def eject(
        self, key: EvidenceKey, score: float, now: float
    ) -> Result[None, Failure]:
        """Take a target out of rotation if the floor allows it."""
        live = self.live_by_service.get(key.service, set())
        if key.target not in live:
            return Error(AlreadyEjected(key))
        if key.target in self.ejections_of(key.service, key.route_class):
            return Error(AlreadyEjected(key))
        out = self.out_for(key.service, key.route_class)
        out.pop(key.target, None)
        if not keeps_floor(len(live) - len(out) - 1, len(live), self.floor):
            least = min(out, key=lambda name: (out[name], name), default=None)
            if least is None or score < SWAP_FACTOR * out[least]:
                self.report(EJECTION_HELD_BY_FLOOR, key, now)
                return Error(FloorReached(key))
            self.return_target(key.service, least, now)
        self.record(key, score, now)
        return Ok(None)

    def record(self, key: EvidenceKey, score: float, now: float) -> None:
        """Note an ejection with its backoff."""
        for old in list(self.ejections_by_key):
            # An ejection for all classes replaces those for single ones.
            if key.route_class == ALL_CLASSES and old[:2] == key[:2]:
                del self.ejections_by_key[old]
        self.ejections_by_key[key] = Ejection(
            key, score, now, now + self.next_backoff_s(key, now)
        )
        self.report(TARGET_EJECTED, key, now)

    def next_backoff_s(self, key: EvidenceKey, now: float) -> float:
        """Return the backoff, doubled for each recent ejection of the target."""
        flaps = self.flaps_by_key.get(key, Flaps(0, now))
        count = flaps.count if now - flaps.at < FLAP_MEMORY_S else 0
        self.flaps_by_key[key] = Flaps(min(count + 1, FLAP_LIMIT), now)
        return self.profile.backoff_s * 2.0**count

    def trial_key(
        self, service: str, route_class: str, now: float
    ) -> EvidenceKey | None:
        """Return an ejected target that is due for a trial request, if any."""
        for ejection in self.ejections_of(service, route_class).values():
            overdue = now - ejection.trial_started_at > TRIAL_LIFE_S
            free = overdue or not ejection.trial_running
            waited = now - ejection.trial_started_at >= TRIAL_GAP_S
            if now >= ejection.until and free and waited:
                return ejection.key
        return None

    def begin_trial(self, key: EvidenceKey, now: float) -> None:
        """Note that a trial request starts."""
        ejection = self.ejections_by_key[key]
        ejection.trial_running = True
        ejection.trial_started_at = now

    def end_trial(self, key: EvidenceKey) -> None:
        """Note that a trial request has ended, with or without a finding."""
        ejection = self.ejections_by_key.get(key)
        if ejection is not None:
            ejection.trial_running = False

    def record_outcome(
        self, service: str, target: str, route_class: str, bad: bool, now: float
    ) -> None:
        """Judge a trial by the observation of an exchange with an ejected target."""
        for scope in (route_class, ALL_CLASSES):
            ejection = self.ejections_by_key.get(EvidenceKey(service, target, scope))
            if ejection is None or now < ejection.until:
                continue
            if bad:
                ejection.trials_passed = 0
                ejection.until = now + self.next_backoff_s(ejection.key, now)
                continue
            ejection.trials_passed += 1
            if ejection.trials_passed >= TRIALS_NEEDED:
                self.admit(ejection.key, now)

    def admit(self, key: EvidenceKey, now: float) -> None:
        """Return a target into rotation with a ramp."""
        del self.ejections_by_key[key]
        self.ramps_by_target[(key.service, key.target)] = now
        self.restart(key)
        self.report(TARGET_RETURNED, key, now)

    def return_target(self, service: str, target: str, now: float) -> None:
        """Return a target into rotation for all scopes."""
        for key in list(self.ejections_by_key):
            if key.service == service and key.target == target:
                self.admit(key, now)

    def restore_floor(self, service: str, now: float) -> None:
        """Return the least unhealthy targets that the floor needs."""
        live = self.live_by_service.get(service, set())
        for scope in self.scopes_of(service):
            out = self.ejections_of(service, scope)
            scores = {name: ejection.score for name, ejection in out.items()}
            for target in targets_to_return(scores, live, self.floor):
                self.return_target(service, target, now)

    def ramp(self, service: str, target: str, now: float) -> float:
        """Return the fraction of its normal load that a target gets, at most 1."""
        started = self.ramps_by_target.get((service, target))
        if started is None:
            return 1.0
        if now - started >= RAMP_S:
            del self.ramps_by_target[(service, target)]
            return 1.0
        return RAMP_START + (1.0 - RAMP_START) * (now - started) / RAMP_S

    def report(self, event: Any, key: EvidenceKey, now: float) -> None:
        """Tell the listeners what happened to a target."""
        for listener in self.listeners:
            listener(event, key, now)
