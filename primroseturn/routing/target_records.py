"""Records what VMs learn of targets, for the placement of requests.

Used by `primroseturn entry`.
"""

from collections.abc import Iterable
from random import Random

from primroseturn.routing.choices import RequestTraits
from primroseturn.routing.cold import ColdTargets
from primroseturn.routing.eligibility import Eligibility
from primroseturn.routing.even_load import EvenLoad
from primroseturn.routing.models import Target
from primroseturn.routing.target_state import (
    has_restarted,
    TargetState,
    TypicalPeerLoad,
)

# Backoff after a target could not be reached; it doubles up to the limit.
UNREACHABLE_BACKOFF_S = 0.5
UNREACHABLE_BACKOFF_LIMIT_S = 4.0
# Longest time for which a target that refuses requests gets none. A target that states
# a longer one by mistake must return.
MAX_QUIET_S = 30.0
# Weight of one response in the typical duration of a route.
TYPICAL_DURATION_WEIGHT = 0.05
# Interval in seconds at which a missing response that other data centres report counts.
REMOTE_MISSING_INTERVAL_S = 1.0


class TargetRecords:
    """Tracks the state of all targets."""

    def __init__(
        self,
        data_center: str,
        regions_by_data_center: dict[str, str],
        random: Random | None = None,
    ) -> None:
        self.data_center = data_center
        self.regions_by_data_center = regions_by_data_center
        self.region = regions_by_data_center.get(data_center, "")
        self.random = random or Random()
        self.eligibility = Eligibility(regions_by_data_center)
        self.cold = ColdTargets(regions_by_data_center, self.region)
        self.states_by_id: dict[str, TargetState] = {}
        self.states_by_service: dict[str, list[TargetState]] = {}
        self.typical_s_by_kind: dict[str, float] = {}
        self.typical_loads_by_service: dict[str, TypicalPeerLoad] = {}
        self.last_attempt_number = 0
        self.even_load: EvenLoad | None = None

    def set_even_load(self, enabled: bool, min_targets_per_center: int = 0) -> None:
        """Set whether targets are drawn by the fleet's demand (see `EvenLoad`).

        Parameters
        ----------
        min_targets_per_center
            Mean number of a service's targets in a data centre from which they are.
        """
        known = self.even_load
        if not enabled:
            self.even_load = None
            for state in self.states_by_id.values():
                state.flow = None
        elif known is None or known.min_targets_per_center != min_targets_per_center:
            self.even_load = EvenLoad(
                self.data_center,
                self.regions_by_data_center,
                self.random,
                min_targets_per_center,
            )
            self.even_load.update_targets(self.states_by_service)

    def even_load_of(self, service: str) -> EvenLoad | None:
        """Return what draws the targets of a service; None without even load."""
        if self.even_load is None or service not in self.even_load.services:
            return None
        return self.even_load

    def update_targets(self, targets: Iterable[Target], now: float) -> None:
        """Replace the listed targets; the state of those that stay is kept."""
        states: dict[str, TargetState] = {}
        for target in targets:
            known = self.states_by_id.get(target.id)
            if known is None or has_restarted(known.target, target):
                load = self.typical_loads_by_service.setdefault(
                    target.service, TypicalPeerLoad()
                )
                has_known_start = known is not None
                known = TargetState(target, load, now)
                if has_known_start:
                    self.cold.record_restart(known, now)
            self.cold.record_entry(known, target, now)
            known.target = target
            states[target.id] = known
        self.states_by_id = states
        self.cold.forget_unlisted(set(states), now)
        self.states_by_service = {}
        for state in states.values():
            service = state.target.service
            self.states_by_service.setdefault(service, []).append(state)
        if self.even_load is not None:
            self.even_load.update_targets(self.states_by_service)

    def typical_duration_s(self, traits: RequestTraits) -> float:
        """Return the typical duration in seconds of such a request."""
        return self.typical_s_by_kind.get(traits.kind, traits.default_duration_s)

    def known_duration_s(self, traits: RequestTraits) -> float | None:
        """Return the typical duration in seconds, None before the first response."""
        return self.typical_s_by_kind.get(traits.kind)

    def record_success(
        self, target_id: str, traits: RequestTraits, took_s: float, now: float
    ) -> None:
        """Record a successful, complete response."""
        typical_s = self.typical_duration_s(traits)
        self.typical_s_by_kind[traits.kind] = typical_s + TYPICAL_DURATION_WEIGHT * (
            took_s - typical_s
        )
        state = self.states_by_id.get(target_id)
        if state is not None:
            self.cold.record_heard(state, now)
            state.record_duration(took_s / typical_s, now)
            even_load = self.even_load_of(state.target.service)
            if even_load is not None:
                even_load.record_duration(state, took_s, now)
            state.error_suspicion.record_outcomes(False, now)
            state.path_suspicion.record_outcomes(False, now)
            state.peer_suspicion.record_outcomes(False, now)
            state.unreachable_s = 0.0

    def record_error_response(self, target_id: str, now: float) -> None:
        """Record an error response of a target."""
        state = self.states_by_id.get(target_id)
        if state is not None:
            self.cold.record_heard(state, now)
            state.error_suspicion.record_outcomes(True, now)
            state.path_suspicion.record_outcomes(False, now)

    def record_missing_response(self, target_id: str, now: float) -> None:
        """Record that no complete response arrived."""
        state = self.states_by_id.get(target_id)
        if state is not None:
            state.path_suspicion.record_outcomes(True, now)

    def record_peer_outcomes(
        self,
        target_id: str,
        failed: int,
        succeeded: int,
        now: float,
        missing: int = 0,
        is_remote: bool = False,
    ) -> None:
        """Record outcomes that other VMs report.

        An error response shows that the path is sound, so it counts from everywhere. A
        missing response may be a fault of the path: other data centres that are cut
        from the target count as one witness, which the outcomes of this data centre
        outweigh.

        Parameters
        ----------
        missing
            Number of responses that are missing or not the target's.
        is_remote
            Whether the VMs are those of other data centres.
        """
        state = self.states_by_id.get(target_id)
        if state is None:
            return
        even_load = self.even_load_of(state.target.service)
        if even_load is not None:
            count = failed + succeeded + missing
            even_load.record_arrivals(state, count, is_remote, now)
        if succeeded or failed:
            self.cold.record_heard(state, now)
        if succeeded:
            state.error_suspicion.record_outcomes(False, now, succeeded)
        if failed:
            state.error_suspicion.record_outcomes(True, now, failed)
        if is_remote:
            is_due = now - state.remote_missing_at >= REMOTE_MISSING_INTERVAL_S
            if missing and is_due:
                state.remote_missing_at = now
                state.peer_suspicion.record_outcomes(True, now)
            return
        answered = succeeded + failed
        if answered:
            state.peer_suspicion.record_outcomes(False, now, answered)
        if missing:
            state.peer_suspicion.record_outcomes(True, now, missing)

    def record_unreachable(self, target_id: str, now: float) -> None:
        """Record that a request did not reach the target, and start a backoff."""
        state = self.states_by_id.get(target_id)
        if state is not None:
            doubled_s = max(UNREACHABLE_BACKOFF_S, 2.0 * state.unreachable_s)
            state.unreachable_s = min(UNREACHABLE_BACKOFF_LIMIT_S, doubled_s)
            state.unreachable_until = now + state.unreachable_s

    def record_quiet(self, target_id: str, quiet_s: float, now: float) -> float:
        """Record that a target wants no requests of this VM for some time.

        Returns
        -------
        float
            The time in seconds for which it gets none.
        """
        quiet_s = min(MAX_QUIET_S, quiet_s)
        state = self.states_by_id.get(target_id)
        if state is not None:
            state.quiet_until = max(state.quiet_until, now + quiet_s)
        return quiet_s

    def record_load(
        self, target_id: str, request_count: int, now: float, age_s: float = 0.0
    ) -> None:
        """Record the number of requests that a target has according to its response.

        The number includes the attempt to which the target responded. `age_s` is the
        expected age of the response in seconds, used with even load only.
        """
        state = self.states_by_id.get(target_id)
        if state is None:
            return
        self.cold.record_heard(state, now)
        state.recent_loads.append((now - age_s, request_count))
        even_load = self.even_load_of(state.target.service)
        if even_load is not None:
            even_load.record_load(state, request_count, now, age_s)
        else:
            state.peer_load = max(0.0, request_count - len(state.started_by_attempt))
            state.peer_load_at = now
            state.typical_peer_load.add(state.peer_load)

    def record_full(self, target_id: str, now: float) -> None:
        """Record that a target refused a request because it was full."""
        state = self.states_by_id.get(target_id)
        if state is not None:
            state.peer_load = max(state.peer_load, 1.5 * state.target.slots)
            state.peer_load_at = now
