"""One VM's view of its targets' health: own and pooled evidence, and suspicion."""

from collections import deque
from collections.abc import Callable

from primroseturn.detection.detectors import factories_by_name
from primroseturn.detection.digests import (
    DigestReader,
    DigestWriter,
    ENTRIES_LIMIT,
    EvidenceDigest,
    hash_key,
)
from primroseturn.detection.evidence import (
    ALL_CLASSES,
    Counts,
    EvidenceKey,
    FAILED_OUTCOMES,
)
from primroseturn.detection.observations import Observation, Outcome
from primroseturn.detection.profiles import Profile
from primroseturn.detection.reference import LatencyReference
from primroseturn.detection.shares import ShareTable

# How long the observation of an exchange may follow the end of its slot.
SETTLE_LIMIT_S = 1.0
# Multiple of the late limit from which an exchange is very late.
VERY_LATE_FACTOR = 2.0
# A VM suspects its own network path when more than this share of the targets that
# it observes look bad.
PATH_SHARE = 0.66
PATH_TARGETS = 3
PATH_BAD_SHARE = 0.5
PATH_WEIGHT = 1.5
# From this bad share on, evidence also goes to other data centres.
UNHEALTHY_SHARE = 0.2
PATH_REFRESH_S = 0.05
# Another class shows health when it has this weight of evidence and less than this
# part of the bad share of the worst class.
CLASS_WEIGHT = 4.0
CLASS_PART = 0.25

Suspect = Callable[[EvidenceKey, float, float], None]


class Flight:
    """An exchange that is running."""

    __slots__ = ("aged", "key", "started_at", "streams", "very_aged")

    def __init__(self, key: EvidenceKey, started_at: float, streams: bool) -> None:
        self.key = key
        self.started_at = started_at
        self.streams = streams
        self.aged = False
        self.very_aged = False


class HealthMonitor:
    """Gathers evidence and reports suspects to a callback.

    Parameters
    ----------
    vm
        Name of this VM.
    profile
        Detector and thresholds.
    suspect
        Called with key, suspicion and time whenever the suspicion reaches 1.
    """

    def __init__(self, vm: str, profile: Profile, suspect: Suspect) -> None:
        self.vm = vm
        self.suspect = suspect
        self.reference = LatencyReference()
        self.own_shares = ShareTable()
        self.writer = DigestWriter()
        self.reader = DigestReader()
        self.flights: dict[int, Flight] = {}
        self.aged_ends_by_key: dict[EvidenceKey, deque[tuple[float, Flight]]] = {}
        self.classes_by_service: dict[str, set[str]] = {}
        self.wholes_by_key: dict[EvidenceKey, EvidenceKey] = {}
        self.path_checked_at = float("-inf")
        self.path_suspected = False
        self.apply_profile(profile)

    def apply_profile(self, profile: Profile) -> None:
        """Start anew with the detector of a profile."""
        self.profile = profile
        self.shares = ShareTable()
        factory = factories_by_name[profile.detector]
        self.detector = factory(profile.threshold, self.shares, self.vm)

    def start_exchange(
        self, service: str, target: str, route_class: str, now: float, streams: bool
    ) -> Flight:
        """Take note that an exchange starts. Streams are not timed as a whole."""
        flight = Flight(EvidenceKey(service, target, route_class), now, streams)
        self.flights[id(flight)] = flight
        return flight

    def end_exchange(self, flight: Flight, now: float) -> None:
        """Take note that an exchange has ended."""
        self.flights.pop(id(flight), None)
        if flight.aged:
            self.aged_ends_by_key.setdefault(flight.key, deque()).append((now, flight))

    def tick(self, now: float) -> None:
        """Count running exchanges that became late, without waiting for their end."""
        for flight in list(self.flights.values()):
            if flight.very_aged or flight.streams:
                continue
            limit = self.reference.late_limit_s(flight.key, now)
            if limit is None:
                continue
            age = now - flight.started_at
            if age > limit and not flight.aged:
                flight.aged = True
                self.add_own(flight.key, Counts(1, 0, 1), now)
            if age > VERY_LATE_FACTOR * limit:
                flight.very_aged = True
                self.add_own(flight.key, Counts(0, 0, 0, 1), now)

    def observe(self, seen: Observation) -> bool:
        """Take the evidence of a finished exchange and return whether it was bad."""
        key = EvidenceKey(seen.service, seen.target, seen.route_class)
        limit = self.reference.late_limit_s(key, seen.at)
        failed = seen.outcome in FAILED_OUTCOMES
        slow = limit is not None and seen.first_byte_s > limit
        late = seen.outcome is Outcome.SHED or (slow and not failed)
        if seen.outcome is Outcome.OK:
            self.reference.add(key, seen.first_byte_s)
        settled = self.settle_aged(key, seen.at) if slow else None
        very = slow and not failed and seen.first_byte_s > VERY_LATE_FACTOR * limit
        if settled is None:
            counts = Counts(1, int(failed), int(late), int(very))
        else:
            # Counted as late while it ran.
            counts = Counts(0, int(failed), 0, int(very and not settled.very_aged))
        self.add_own(key, counts, seen.at)
        return failed or late

    def settle_aged(self, key: EvidenceKey, now: float) -> Flight | None:
        """Return the exchange if it was already counted while it ran."""
        ends = self.aged_ends_by_key.get(key)
        while ends and ends[0][0] < now - SETTLE_LIMIT_S:
            ends.popleft()
        if ends:
            return ends.popleft()[1]
        for flight in self.flights.values():
            if flight.aged and flight.key == key:
                # Its end must not be counted again.
                del self.flights[id(flight)]
                flight.aged = False
                return flight
        return None

    def add_own(self, key: EvidenceKey, counts: Counts, now: float) -> None:
        """Add this VM's own evidence."""
        self.classes_by_service.setdefault(key.service, set()).add(key.route_class)
        self.own_shares.add(self.whole_of(key), counts, now)
        if self.is_path_suspected(now):
            return
        self.writer.add(key, counts)
        self.add_evidence(key, self.vm, counts, now)

    def whole_of(self, key: EvidenceKey) -> EvidenceKey:
        """Return the key of all classes of a target."""
        whole = self.wholes_by_key.get(key)
        if whole is None:
            whole = self.wholes_by_key[key] = key._replace(route_class=ALL_CLASSES)
        return whole

    def add_evidence(
        self, key: EvidenceKey, source: str, counts: Counts, now: float
    ) -> None:
        """Add evidence of any VM to the detector, for the class and the target."""
        self.add_evidence_batch([(key, counts)], source, now)

    def add_evidence_batch(
        self, batch: list[tuple[EvidenceKey, Counts]], source: str, now: float
    ) -> None:
        """Add evidence on several targets.

        All shares are updated first, so that the peers' share is as new as the
        evidence that is compared with it.
        """
        for key, counts in batch:
            self.shares.add(key, counts, now)
            self.shares.add(self.whole_of(key), counts, now)
        for key, counts in batch:
            self.detector.add(key, source, counts, now)
            self.detector.add(self.whole_of(key), source, counts, now)
        for key, counts in batch:
            if counts.is_bad():
                self.check(key, now)

    def check(self, key: EvidenceKey, now: float) -> None:
        """Report the target, or some of its classes, if the suspicion suffices."""
        whole = self.whole_of(key)
        suspicion = max(
            self.detector.suspicion(key, now), self.detector.suspicion(whole, now)
        )
        if suspicion < 1.0:
            return
        healthy = self.healthy_classes(whole, now)
        if not healthy:
            self.suspect(whole, suspicion, now)
            return
        for name in self.classes_by_service[key.service] - healthy:
            scope = key._replace(route_class=name)
            score = self.detector.suspicion(scope, now)
            if score >= 1.0:
                self.suspect(scope, score, now)

    def healthy_classes(self, whole: EvidenceKey, now: float) -> set[str]:
        """Return the route classes for which a target shows health."""
        shares_by_class = {
            name: self.shares.own(whole._replace(route_class=name), now)
            for name in self.classes_by_service.get(whole.service, ())
        }
        worst = max(max(item.failed, item.late) for item in shares_by_class.values())
        return {
            name
            for name, item in shares_by_class.items()
            if item.weight >= CLASS_WEIGHT
            and max(item.failed, item.late) < CLASS_PART * worst
        }

    def unhealthy_keys(self, now: float) -> list[EvidenceKey]:
        """Return the keys of targets that look unhealthy on this VM's evidence."""
        return [
            key
            for key in self.writer.sums_by_key
            if self.looks_unhealthy(self.whole_of(key), now)
        ][:ENTRIES_LIMIT]

    def looks_unhealthy(self, whole: EvidenceKey, now: float) -> bool:
        """Return whether this VM's recent exchanges with a target went badly."""
        shares = self.own_shares.own(whole, now)
        bad = shares.failed + shares.late
        return shares.weight * bad >= 1.0 and bad >= UNHEALTHY_SHARE

    def is_path_suspected(self, now: float) -> bool:
        """Return whether most targets look bad, so this VM's path may be at fault."""
        if now - self.path_checked_at >= PATH_REFRESH_S:
            self.path_checked_at = now
            observed, bad = 0, 0
            for key in self.own_shares.counts_by_key:
                shares = self.own_shares.own(key, now)
                if shares.weight >= PATH_WEIGHT:
                    observed += 1
                    bad += shares.failed + shares.late > PATH_BAD_SHARE
            self.path_suspected = (
                observed >= PATH_TARGETS and bad > PATH_SHARE * observed
            )
        return self.path_suspected

    def register_keys(self, service: str, targets: set[str], classes: set[str]) -> None:
        """Take note of what digests may be about."""
        known = self.classes_by_service.setdefault(service, set())
        known |= classes
        for target in targets:
            for name in known:
                key = EvidenceKey(service, target, name)
                self.reader.keys_by_hash[hash_key(key)] = key

    def receive(self, vm: str, incarnation: str, digest: EvidenceDigest, now: float):
        """Pool the evidence of a peer."""
        if not self.detector.pools:
            return
        self.add_evidence_batch(
            list(self.reader.read(vm, incarnation, digest, now)), vm, now
        )

    def restart(self, key: EvidenceKey) -> None:
        """Forget the evidence against a target that returns into rotation."""
        names = self.classes_by_service.get(key.service, set()) | {ALL_CLASSES}
        if key.route_class != ALL_CLASSES:
            names = {key.route_class, ALL_CLASSES}
        for name in names:
            self.detector.forget(key._replace(route_class=name))

    def forget(self, service: str, targets: set[str]) -> None:
        """Drop targets that are no longer listed."""
        self.reference.forget(service, targets)
        names = self.classes_by_service.get(service, set()) | {ALL_CLASSES}
        for target in targets:
            for name in names:
                key = EvidenceKey(service, target, name)
                self.wholes_by_key.pop(key, None)
                self.detector.forget(key)
                self.shares.forget(key)
                self.own_shares.forget(key)
                self.writer.forget(key)
                self.reader.forget(key)
