"""Bounds the requests that all VMs together send to a cold target.

There is no coordinator and nothing is exchanged: each target has a few owners among the
registered VMs, and only they send to it while it is cold, each at its part of the rate.
VMs with the same list of registered VMs agree on the owners, whether or not they can
reach each other. See docs/design/cold-targets.md.
"""

from collections.abc import Callable, Mapping
from hashlib import blake2b
from math import inf
from typing import NamedTuple

from primroseturn.routing.metrics import COLD_ATTEMPTS, COLD_TARGETS
from primroseturn.routing.models import ColdLimits, Target
from primroseturn.routing.target_state import TargetState

# Seconds without an outcome of any VM after which a target may have restarted. Outcomes
# are known some 0.45 s after their requests were sent: with 1.0 s, half of the targets
# were held to be cold in a simulation of normal load (3.5 requests per second each).
SILENCE_S = 1.5
# Attempts that a target would usually have got in a silence. At 2.8 requests per second
# and target, 1.5 s alone held 0.4 of sound targets to be cold, whose requests then went
# to other regions.
SILENCE_ATTEMPTS = 5.0
# Least rate in requests per second and target that is assumed for this.
MIN_USUAL_PER_S = 0.2
# Seconds without an outcome after which an owner may try a target. With the duration of
# a request and the delay of digests, the outcome is known before `SILENCE_S`.
OWNER_TRIAL_IDLE_S = 0.5
# Seconds after the first list of VMs before this VM uses it. VMs that start together
# read lists that lack many of them, so that too many would be owners.
LIST_SETTLE_S = 2.0
# Fewest owners of a target, so that one may have failed.
MIN_OWNERS = 2
# Fraction of the rate that the owners use. With as many owners as requests per second,
# it keeps two requests of an owner more than a second apart.
RATE_SHARE = 0.95

# Seconds for which the last attempt at a target that is not listed is kept: it may be
# listed again at once.
SENT_KEPT_S = 60.0

# Called with a target that turned cold, the reason and the seconds for which it is.
ColdListener = Callable[[Target, str, float], None]


class ColdBound(NamedTuple):
    """The bound on the requests to a cold target in any second.

    It is `overage` times the rate that the target tolerates plus `slack`.
    """

    overage: float
    slack: float


def cold_bound_of(overage: float | None, slack: float | None) -> ColdBound | None:
    """Return the bound that the settings state, None without one."""
    return None if overage is None else ColdBound(overage, slack or 0.0)


class ColdTargets:
    """Knows which targets are cold and what this VM may send them.

    All times are monotonic, in seconds.

    Attributes
    ----------
    bound
        None disables all limits.
    limits_by_service
        Services without limits are not bounded.
    own_region
        Region of this VM; empty if it is not known.
    own_vm
        Name of this VM.
    centers_by_vm
        Data centre of each registered VM, this one included; None before the first
        list.
    listed_at
        Time of the first list.
    rates_by_target
        Requests per second that this VM may send to cold targets, by id; 0 for targets
        that it does not own. Targets are added when needed.
    sent_at_by_target
        Last attempt that this VM sent to each cold target.
    listeners
        Called when a target turns cold.
    """

    def __init__(
        self, regions_by_data_center: dict[str, str], own_region: str = ""
    ) -> None:
        self.regions_by_data_center = regions_by_data_center
        self.own_region = own_region
        self.bound: ColdBound | None = None
        self.limits_by_service: dict[str, ColdLimits] = {}
        self.own_vm = ""
        self.centers_by_vm: dict[str, str] | None = None
        self.listed_at = inf
        self.rates_by_target: dict[str, float] = {}
        self.sent_at_by_target: dict[str, float] = {}
        self.listeners: list[ColdListener] = []

    def set_bound(self, bound: ColdBound | None) -> None:
        """Set the bound, None for no limits."""
        self.bound = bound
        self.rates_by_target.clear()

    def set_limits(self, limits_by_service: Mapping[str, ColdLimits]) -> None:
        """Set what the targets of the services tolerate."""
        self.limits_by_service = dict(limits_by_service)
        self.rates_by_target.clear()

    def set_vms(self, own_vm: str, centers_by_vm: dict[str, str], now: float) -> None:
        """Set the data centres of the registered VMs, this one included."""
        if self.centers_by_vm is None:
            self.listed_at = now
        if centers_by_vm != self.centers_by_vm or own_vm != self.own_vm:
            self.own_vm, self.centers_by_vm = own_vm, dict(centers_by_vm)
            self.rates_by_target.clear()

    def limits_of(self, service: str) -> ColdLimits | None:
        """Return what the targets of a service tolerate, None without limits."""
        return None if self.bound is None else self.limits_by_service.get(service)

    def is_cold(self, state: TargetState, now: float) -> bool:
        """Return whether a target is or may be cold.

        It may be cold if no VM has reported an outcome for some time.
        """
        limits = self.limits_of(state.target.service)
        if limits is None:
            return False
        cold_until = max(state.cold_until, state.possibly_cold_until)
        return now < cold_until or self.is_silent(state, limits, now)

    def admits(self, state: TargetState, now: float) -> bool:
        """Return whether this VM may send an attempt to a target now."""
        return not self.is_cold(state, now) or self.has_token(state, now)

    def has_token(self, state: TargetState, now: float) -> bool:
        """Return whether this VM may send an attempt to a target as its owner."""
        if now - self.listed_at < LIST_SETTLE_S:
            return False
        rate_per_s = self.owned_rate_per_s(state.target)
        waited_s = now - self.sent_at_by_target.get(state.target.id, -inf)
        return rate_per_s > 0 and waited_s * rate_per_s >= 1.0

    def select(self, states: list[TargetState], now: float) -> list[TargetState]:
        """Return the targets to which this VM may send an attempt now."""
        if not states or self.limits_of(states[0].target.service) is None:
            return states
        cold = sum(self.is_cold(state, now) for state in states)
        COLD_TARGETS.labels(states[0].target.service).set(cold)
        return (
            [state for state in states if self.admits(state, now)] if cold else states
        )

    def is_due_for_trial(self, state: TargetState, now: float) -> bool:
        """Return whether this VM may try a target that was idle.

        Where cold targets are bounded, only owners try idle targets, at their part of
        the rate and earlier than elsewhere, so that few targets become silent.
        """
        if self.limits_of(state.target.service) is None:
            return state.is_due_for_trial(now)
        return state.is_due_for_trial(now, OWNER_TRIAL_IDLE_S) and self.has_token(
            state, now
        )

    def record_attempt(
        self, state: TargetState, now: float, is_trial: bool = False
    ) -> None:
        """Record that an attempt is sent to a target, as a trial or not."""
        if self.limits_of(state.target.service) is None:
            return
        is_cold = self.is_cold(state, now)
        if is_cold or is_trial:
            self.sent_at_by_target[state.target.id] = now
        if is_cold:
            COLD_ATTEMPTS.labels(state.target.service).inc()

    def record_heard(self, state: TargetState, now: float) -> None:
        """Record an outcome or load of a target that any VM has reported.

        After a silence the target may have restarted, so it is treated as cold for the
        time of a start.
        """
        limits = self.limits_of(state.target.service)
        was_silent = limits is not None and self.is_silent(state, limits, now)
        state.heard_at = now
        if was_silent:
            self.expect_start(state, "silent", now)

    def record_entry(self, state: TargetState, target: Target, now: float) -> None:
        """Apply the changed entry of a known target, in which it may be cold again."""
        if self.limits_of(target.service) is not None and state.target != target:
            state.cold_until = now + target.cold_s
            if target.cold_s:
                self.notify(target, "entry", target.cold_s)

    def record_restart(self, state: TargetState, now: float) -> None:
        """Record that a target has restarted under its id, whatever its entry says."""
        self.expect_start(state, "restarted", now)

    def expect_start(self, state: TargetState, reason: str, now: float) -> None:
        """Treat a target as cold for the time of a start from now on."""
        limits = self.limits_of(state.target.service)
        if limits is not None:
            state.possibly_cold_until = now + limits.start_s
            self.notify(state.target, reason, limits.start_s)

    def notify(self, target: Target, reason: str, cold_s: float) -> None:
        """Call the listeners with a target that turned cold."""
        for listener in self.listeners:
            listener(target, reason, cold_s)

    def forget_unlisted(self, listed_ids: set[str], now: float) -> None:
        """Drop what is kept of targets that are no longer listed."""
        for target_id in self.rates_by_target.keys() - listed_ids:
            del self.rates_by_target[target_id]
        for target_id in self.sent_at_by_target.keys() - listed_ids:
            if now - self.sent_at_by_target[target_id] > SENT_KEPT_S:
                del self.sent_at_by_target[target_id]

    def owned_rate_per_s(self, target: Target) -> float:
        """Return the rate at which this VM may send to a target while it is cold."""
        rate_per_s = self.rates_by_target.get(target.id)
        if rate_per_s is None:
            rate_per_s = self.find_rate_per_s(target)
            self.rates_by_target[target.id] = rate_per_s
        return rate_per_s

    def find_rate_per_s(self, target: Target) -> float:
        """Return the part of this VM of a target's rate; 0 if it is no owner.

        The owners are the VMs with the highest hash of VM and target.
        """
        limits = self.limits_of(target.service)
        candidates = self.candidates(target.data_center)
        if limits is None or self.own_vm not in candidates:
            return 0.0
        count = min(len(candidates), self.owner_count(limits))
        own_score = score(self.own_vm, target.id)
        rank = sum(score(vm, target.id) > own_score for vm in candidates)
        return RATE_SHARE * limits.per_s / count if rank < count else 0.0

    def owner_count(self, limits: ColdLimits) -> int:
        """Return the number of owners of a target.

        Each may send one request at any moment, so that as many may arrive at once.
        """
        assert self.bound is not None
        aimed = max(MIN_OWNERS, int(limits.per_s * self.bound.overage))
        most = int(limits.per_s * self.bound.overage + self.bound.slack)
        return max(1, min(aimed, most))

    def is_silent(self, state: TargetState, limits: ColdLimits, now: float) -> bool:
        """Return whether a target may have restarted, as no VM reported an outcome.

        A target without any outcome is not silent until this VM has known it for the
        time of a start: after a start of all VMs none has had an outcome. Outcomes stay
        within a region, so nothing follows from the silence of a target in another one,
        to which this VM sends few requests.
        """
        region = self.regions_by_data_center.get(state.target.data_center)
        if self.own_region and region != self.own_region:
            return False
        if state.heard_at is None:
            return now - state.known_at > max(SILENCE_S, limits.start_s)
        return now - state.heard_at > silence_limit_s(state, now)

    def candidates(self, data_center: str) -> list[str]:
        """Return the registered VMs of a data centre.

        Without any it is those of its region, then all.
        """
        centers_by_vm = self.centers_by_vm or {}
        found = [vm for vm, center in centers_by_vm.items() if center == data_center]
        if not found:
            region = self.regions_by_data_center.get(data_center)
            found = [
                vm
                for vm, center in centers_by_vm.items()
                if self.regions_by_data_center.get(center) == region
            ]
        return found or list(centers_by_vm)


def silence_limit_s(state: TargetState, now: float) -> float:
    """Return the seconds without a report after which a target counts as silent.

    They are longer where the targets of its data centre get few requests.
    """
    if state.flow is None:
        return SILENCE_S
    usual_per_s = state.flow.per_slot(now) * state.target.slots
    if usual_per_s * SILENCE_S >= SILENCE_ATTEMPTS:
        return SILENCE_S
    return SILENCE_ATTEMPTS / max(usual_per_s, MIN_USUAL_PER_S)


def score(vm: str, target_id: str) -> bytes:
    """Return the hash by which the owners of a target are chosen."""
    return blake2b(f"{vm}\0{target_id}".encode(), digest_size=8).digest()
