"""One VM's view of the health of targets, based on the evidence of all VMs.

Used by `primroseturn daemon`.
"""

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

# Longest time from the release of a slot to the observation of its exchange. After it,
# the exchange is assumed to get no observation, for instance because it was cancelled.
OBSERVATION_DELAY_LIMIT_S = 1.0
# Multiple of the late limit beyond which an exchange is very late.
VERY_LATE_FACTOR = 2.0
# A VM suspects its own network path when it observes at least SUSPECT_PATH_TARGETS
# targets and more than this fraction of them are bad.
SUSPECT_PATH_SHARE = 0.66
SUSPECT_PATH_TARGETS = 3
# A target is bad in this check when more than this fraction of its exchanges are bad.
BAD_TARGET_SHARE = 0.5
# Least number of recent exchanges, after decay, at which a target counts as observed.
MIN_OBSERVED_EXCHANGES = 1.5
# Least fraction of bad exchanges at which evidence also goes to other data centres.
UNHEALTHY_SHARE = 0.2
PATH_CHECK_INTERVAL_S = 0.05
# A route class is healthy at a target when it has at least this number of exchanges,
# after decay, and its fraction of bad ones is below this multiple of that of the worst
# class.
MIN_CLASS_EXCHANGES = 4.0
HEALTHY_CLASS_FACTOR = 0.25

SuspectCallback = Callable[[EvidenceKey, float, float], None]


class RunningExchange:
    """A running exchange, and whether it was counted as late already."""

    __slots__ = (
        "counted_late",
        "counted_very_late",
        "is_download",
        "key",
        "started_at",
    )

    def __init__(self, key: EvidenceKey, started_at: float, is_download: bool) -> None:
        self.key = key
        self.started_at = started_at
        self.is_download = is_download
        self.counted_late = False
        self.counted_very_late = False


class HealthMonitor:
    """Gathers evidence on targets and reports suspected ones to a callback.

    Parameters
    ----------
    vm
        Name of this VM.
    profile
        Gives the detector and its threshold.
    report_suspect
        Called with key, suspicion and monotonic time in seconds when the suspicion is
        1 or more after bad evidence was added.
    """

    def __init__(
        self, vm: str, profile: Profile, report_suspect: SuspectCallback
    ) -> None:
        self.vm = vm
        self.report_suspect = report_suspect
        self.reference = LatencyReference()
        self.own_shares = ShareTable()
        self.writer = DigestWriter()
        self.reader = DigestReader()
        self.running_by_id: dict[int, RunningExchange] = {}
        self.late_ends_by_key: dict[
            EvidenceKey, deque[tuple[float, RunningExchange]]
        ] = {}
        self.classes_by_service: dict[str, set[str]] = {}
        self.all_classes_keys_by_key: dict[EvidenceKey, EvidenceKey] = {}
        self.path_checked_at = float("-inf")
        self.path_suspected = False
        self.apply_profile(profile)

    def apply_profile(self, profile: Profile) -> None:
        """Replace the detector by that of a profile; earlier evidence is dropped."""
        self.profile = profile
        self.shares = ShareTable()
        factory = factories_by_name[profile.detector]
        self.detector = factory(profile.threshold, self.shares, self.vm)

    def start_exchange(
        self, service: str, target: str, route_class: str, now: float, is_download: bool
    ) -> RunningExchange:
        """Register a new exchange.

        Downloads are not timed as a whole, so a running one is never counted as late.
        """
        exchange = RunningExchange(
            EvidenceKey(service, target, route_class), now, is_download
        )
        self.running_by_id[id(exchange)] = exchange
        return exchange

    def end_exchange(self, exchange: RunningExchange, now: float) -> None:
        """Remove a running exchange.

        If it was counted as late, its end is recorded for `observe`.
        """
        self.running_by_id.pop(id(exchange), None)
        if exchange.counted_late:
            self.late_ends_by_key.setdefault(exchange.key, deque()).append(
                (now, exchange)
            )

    def tick(self, now: float) -> None:
        """Count running exchanges that became late, before they end."""
        for exchange in list(self.running_by_id.values()):
            if exchange.counted_very_late or exchange.is_download:
                continue
            limit = self.reference.late_limit_s(exchange.key, now)
            if limit is None:
                continue
            age = now - exchange.started_at
            if age > limit and not exchange.counted_late:
                exchange.counted_late = True
                self.add_own_evidence(exchange.key, Counts(1, 0, 1), now)
            if age > VERY_LATE_FACTOR * limit:
                exchange.counted_very_late = True
                self.add_own_evidence(exchange.key, Counts(0, 0, 0, 1), now)

    def observe(self, observation: Observation) -> bool:
        """Add the evidence of a finished exchange and return whether it was bad."""
        key = EvidenceKey(
            observation.service, observation.target, observation.route_class
        )
        limit = self.reference.late_limit_s(key, observation.at)
        failed = observation.outcome in FAILED_OUTCOMES
        slow = limit is not None and observation.first_byte_s > limit
        late = observation.outcome is Outcome.SHED or (slow and not failed)
        if observation.outcome is Outcome.OK:
            self.reference.add(key, observation.first_byte_s)
        counted = self.match_late_exchange(key, observation.at) if slow else None
        very_late = (
            slow and not failed and observation.first_byte_s > VERY_LATE_FACTOR * limit
        )
        if counted is None:
            counts = Counts(1, int(failed), int(late), int(very_late))
        else:
            # The total and the late count were added while the exchange ran.
            counts = Counts(
                0, int(failed), 0, int(very_late and not counted.counted_very_late)
            )
        self.add_own_evidence(key, counts, observation.at)
        return failed or late

    def match_late_exchange(
        self, key: EvidenceKey, now: float
    ) -> RunningExchange | None:
        """Return an exchange of the key that was counted as late while it ran, if any.

        An observation does not name its exchange. Any exchange of the key keeps the
        counts right, and each is returned once.
        """
        ends = self.late_ends_by_key.get(key)
        while ends and ends[0][0] < now - OBSERVATION_DELAY_LIMIT_S:
            ends.popleft()
        if ends:
            return ends.popleft()[1]
        for exchange in self.running_by_id.values():
            if exchange.counted_late and exchange.key == key:
                # Its end must not be counted again.
                del self.running_by_id[id(exchange)]
                exchange.counted_late = False
                return exchange
        return None

    def add_own_evidence(self, key: EvidenceKey, counts: Counts, now: float) -> None:
        """Add this VM's own evidence, unless its network path is suspected."""
        self.classes_by_service.setdefault(key.service, set()).add(key.route_class)
        self.own_shares.add(self.all_classes_key(key), counts, now)
        if self.is_path_suspected(now):
            return
        self.writer.add(key, counts)
        self.add_evidence(key, self.vm, counts, now)

    def all_classes_key(self, key: EvidenceKey) -> EvidenceKey:
        """Return the key for all route classes of a target."""
        target_key = self.all_classes_keys_by_key.get(key)
        if target_key is None:
            target_key = self.all_classes_keys_by_key[key] = key._replace(
                route_class=ALL_CLASSES
            )
        return target_key

    def add_evidence(
        self, key: EvidenceKey, source: str, counts: Counts, now: float
    ) -> None:
        """Add evidence of any VM, for the route class and for the whole target."""
        self.add_evidence_batch([(key, counts)], source, now)

    def add_evidence_batch(
        self, batch: list[tuple[EvidenceKey, Counts]], source: str, now: float
    ) -> None:
        """Add evidence of any VM on several targets.

        All counts are updated first, so that the fraction of bad exchanges at the
        service's other targets is as recent as the evidence that is compared with it.
        """
        for key, counts in batch:
            self.shares.add(key, counts, now)
            self.shares.add(self.all_classes_key(key), counts, now)
        for key, counts in batch:
            self.detector.add(key, source, counts, now)
            self.detector.add(self.all_classes_key(key), source, counts, now)
        for key, counts in batch:
            if counts.is_bad():
                self.check_suspicion(key, now)

    def check_suspicion(self, key: EvidenceKey, now: float) -> None:
        """Report the target, or its unhealthy classes, if the suspicion reaches 1."""
        target_key = self.all_classes_key(key)
        suspicion = max(
            self.detector.suspicion(key, now), self.detector.suspicion(target_key, now)
        )
        if suspicion < 1.0:
            return
        healthy = self.healthy_classes(target_key, now)
        if not healthy:
            self.report_suspect(target_key, suspicion, now)
            return
        for name in self.classes_by_service[key.service] - healthy:
            class_key = key._replace(route_class=name)
            class_suspicion = self.detector.suspicion(class_key, now)
            if class_suspicion >= 1.0:
                self.report_suspect(class_key, class_suspicion, now)

    def healthy_classes(self, target_key: EvidenceKey, now: float) -> set[str]:
        """Return the route classes that are healthy at a target."""
        shares_by_class = {
            name: self.shares.shares_of(target_key._replace(route_class=name), now)
            for name in self.classes_by_service.get(target_key.service, ())
        }
        worst = max(max(item.failed, item.late) for item in shares_by_class.values())
        return {
            name
            for name, item in shares_by_class.items()
            if item.decayed_total >= MIN_CLASS_EXCHANGES
            and max(item.failed, item.late) < HEALTHY_CLASS_FACTOR * worst
        }

    def unhealthy_keys(self, now: float) -> list[EvidenceKey]:
        """Return the keys of targets that look unhealthy on this VM's evidence."""
        return [
            key
            for key in self.writer.sums_by_key
            if self.looks_unhealthy(self.all_classes_key(key), now)
        ][:ENTRIES_LIMIT]

    def looks_unhealthy(self, target_key: EvidenceKey, now: float) -> bool:
        """Return whether many of this VM's recent exchanges with a target were bad."""
        shares = self.own_shares.shares_of(target_key, now)
        bad = shares.failed + shares.late
        return shares.decayed_total * bad >= 1.0 and bad >= UNHEALTHY_SHARE

    def is_path_suspected(self, now: float) -> bool:
        """Return whether most targets look bad from this VM.

        The fault is then likely in this VM's own network path.
        """
        if now - self.path_checked_at >= PATH_CHECK_INTERVAL_S:
            self.path_checked_at = now
            observed, bad = 0, 0
            for key in self.own_shares.counts_by_key:
                shares = self.own_shares.shares_of(key, now)
                if shares.decayed_total >= MIN_OBSERVED_EXCHANGES:
                    observed += 1
                    bad += shares.failed + shares.late > BAD_TARGET_SHARE
            self.path_suspected = (
                observed >= SUSPECT_PATH_TARGETS and bad > SUSPECT_PATH_SHARE * observed
            )
        return self.path_suspected

    def register_keys(self, service: str, targets: set[str], classes: set[str]) -> None:
        """Register the keys of targets and route classes that digests may contain."""
        known = self.classes_by_service.setdefault(service, set())
        known |= classes
        for target in targets:
            for name in known:
                key = EvidenceKey(service, target, name)
                self.reader.keys_by_hash[hash_key(key)] = key

    def receive_digest(
        self, vm: str, incarnation: str, digest: EvidenceDigest, now: float
    ):
        """Add the evidence in a digest of another VM."""
        if not self.detector.uses_peer_evidence:
            return
        self.add_evidence_batch(
            list(self.reader.read(vm, incarnation, digest, now)), vm, now
        )

    def clear_evidence(self, key: EvidenceKey) -> None:
        """Drop the evidence on a target that returns into rotation."""
        names = self.classes_by_service.get(key.service, set()) | {ALL_CLASSES}
        if key.route_class != ALL_CLASSES:
            names = {key.route_class, ALL_CLASSES}
        for name in names:
            self.detector.forget(key._replace(route_class=name))

    def forget(self, service: str, targets: set[str]) -> None:
        """Drop the evidence on targets that are no longer listed."""
        self.reference.forget(service, targets)
        names = self.classes_by_service.get(service, set()) | {ALL_CLASSES}
        for target in targets:
            for name in names:
                key = EvidenceKey(service, target, name)
                self.all_classes_keys_by_key.pop(key, None)
                self.detector.forget(key)
                self.shares.forget(key)
                self.own_shares.forget(key)
                self.writer.forget(key)
                self.reader.forget(key)
