"""What must hold in every soak, checked over what callers and targets saw.

The bounds are those that the users' pages state.
"""

from collections.abc import Callable, Iterator

from features.soak.history import History, Run, Sent, Version

REVOKED_S = 5.0
APPLY_S = 2.0
DRAIN_S = 2.0
STABLE_S = 3.0
DOWNGRADE_S = 0.25
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20
REPEAT_RATIO, REPEAT_EXTRA, REPEAT_WINDOW_S = 0.2, 58, 10.0
# Between the caller's and the target's view of one request, on one machine.
WAY_S = 0.3
NOT_RUN_STATUSES = (408, 421, 429, 503)

Check = Callable[[History], Iterator[str]]
checks_by_name: dict[str, Check] = {}


def promise(check: Check) -> Check:
    """Add a check under its name."""
    checks_by_name[check.__name__] = check
    return check


def find_broken(history: History) -> list[str]:
    """Return what broke each promise, or an empty list."""
    return [
        f"{name}: {found}"
        for name, check in checks_by_name.items()
        for found in check(history)
    ]


@promise
def at_most_once(history: History) -> Iterator[str]:
    """Work that must not repeat runs once per attempt."""
    for attempt, runs in history.runs_by_attempt().items():
        if attempt.startswith("order") and len(runs) > 1:
            yield f"{attempt} ran {len(runs)} times"


@promise
def true_refusals(history: History) -> Iterator[str]:
    """A request that was refused as not run has not run, and never will."""
    runs = history.runs_by_attempt()
    for sent in history.sent:
        refused = sent.kind == "order" and sent.status in NOT_RUN_STATUSES
        if refused and sent.attempt in runs:
            yield f"{sent.attempt} was answered {sent.status} and ran"


@promise
def whole_answers(history: History) -> Iterator[str]:
    """A success is the target's whole answer to this request."""
    for sent in history.sent:
        if sent.status == 200 and not sent.whole:
            yield f"{sent.attempt} got another or a cut body"


@promise
def right_workspace(history: History) -> Iterator[str]:
    """Targets get the key's workspace and never the key."""
    workspaces: dict[str, str] = {}
    for version in history.versions:
        workspaces.update(version.workspaces_by_key)
    sent_by_attempt = {sent.attempt: sent for sent in history.sent}
    for run in history.runs:
        if run.key_passed:
            yield f"{run.attempt} brought its key to {run.target}"
        sent = sent_by_attempt.get(run.attempt)
        if sent is not None and run.workspace != workspaces.get(sent.key):
            yield f"{run.attempt} ran as {run.workspace}"


@promise
def withdrawn_keys(history: History) -> Iterator[str]:
    """Nothing runs that was sent long after its key was withdrawn, at any VM."""
    runs = history.runs_by_attempt()
    for sent in history.sent:
        known = [item for item in history.versions if item.stored_at < sent.sent_at]
        holders = [item for item in known if sent.key in item.workspaces_by_key]
        if not known or sent.attempt not in runs or known[-1] in holders:
            continue
        if not holders:
            yield f"{sent.attempt} ran with a key that no version held"
            continue
        withdrawn_at = known[known.index(holders[-1]) + 1].stored_at
        if sent.sent_at > withdrawn_at + REVOKED_S:
            late_s = sent.sent_at - withdrawn_at
            yield f"{sent.attempt} at {sent.vm} ran {late_s:.2f} s after its key left"


def first_versions(history: History, sent: Sent) -> list[Version]:
    """Return the versions that may be in force at a VM when a request is sent.

    A VM that is in touch knows all that the store had taken `APPLY_S` before.
    """
    may = [v for v in history.versions if v.written_at <= sent.ended_at]
    since = sent.sent_at - APPLY_S - STABLE_S
    if history.is_calm({sent.vm, "store"}, since, sent.ended_at):
        known = [v for v in may if v.stored_at + APPLY_S < sent.sent_at]
        may = may[max(0, len(known) - 1) :]
    return may


@promise
def newest_configuration(history: History) -> Iterator[str]:
    """VMs in touch handle requests by a version that may be in force."""
    runs = history.runs_by_attempt()
    for sent in history.sent:
        for run in runs.get(sent.attempt, ()):
            allowed = {
                v.services_by_kind[sent.kind] for v in first_versions(history, sent)
            }
            if run.service not in allowed:
                yield f"{sent.attempt} at {sent.vm} ran at {run.service}"


@promise
def no_step_back(history: History) -> Iterator[str]:
    """One start of a VM never goes back to an older version."""
    runs = history.runs_by_attempt()
    seen_by_start: dict[tuple[str, int], list[tuple[float, int]]] = {}
    for sent in sorted(history.sent):
        for run in runs.get(sent.attempt, ())[:1]:
            fitting = fitting_versions(history, sent, run)
            seen = seen_by_start.setdefault((sent.vm, sent.start), [])
            if fitting:
                seen.append((run.at, min(fitting)))
    for sent in history.sent:
        seen = seen_by_start.get((sent.vm, sent.start), [])
        before = [number for at, number in seen if at + DOWNGRADE_S < sent.sent_at]
        for run in runs.get(sent.attempt, ())[:1]:
            fitting = fitting_versions(history, sent, run)
            if before and fitting and max(fitting) < max(before):
                yield f"{sent.attempt} at {sent.vm} was handled by {max(fitting)}"


def fitting_versions(history: History, sent: Sent, run: Run) -> list[int]:
    """Return the versions by which a request may have run where it did."""
    return [
        version.number
        for version in history.versions
        if version.written_at <= run.at
        and version.services_by_kind[sent.kind] == run.service
    ]


@promise
def rates(history: History) -> Iterator[str]:
    """No window sees more runs of a workspace than its rate allows."""
    limits: dict[str, float] = {}
    for version in history.versions:
        for name, rate in version.rates_by_workspace.items():
            limits[name] = max(rate, limits.get(name, 0.0))
    first_by_attempt: dict[str, Run] = {}
    for run in history.runs:
        first_by_attempt.setdefault(run.attempt, run)
    for name, rate in limits.items():
        times = sorted(r.at for r in first_by_attempt.values() if r.workspace == name)
        allowed = (rate * WINDOW_S + rate) * (1 + OVERAGE) + SLACK
        for index, at in enumerate(times):
            count = sum(time < at + WINDOW_S for time in times[index:])
            if count > allowed:
                yield f"{name} ran {count} requests in {WINDOW_S} s, {allowed} allowed"
                break


@promise
def repeats(history: History) -> Iterator[str]:
    """Runs beyond the first of each request stay within the budget of all VMs."""
    firsts: set[str] = set()
    again: list[float] = []
    for run in sorted(history.runs):
        if run.attempt in firsts:
            again.append(run.at)
        firsts.add(run.attempt)
    asked = [sent.sent_at for sent in history.sent]
    for index, at in enumerate(again):
        count = sum(time < at + REPEAT_WINDOW_S for time in again[index:])
        windows = (at, at - REPEAT_WINDOW_S / 2, at - REPEAT_WINDOW_S)
        most = max(sum(w <= t < w + REPEAT_WINDOW_S for t in asked) for w in windows)
        if count > REPEAT_RATIO * most + REPEAT_EXTRA:
            yield f"{count} repeats of {most} requests in {REPEAT_WINDOW_S} s"
            return


@promise
def leaving_targets(history: History) -> Iterator[str]:
    """VMs in touch send nothing to a target long after it has reported to leave."""
    sent_by_attempt = {sent.attempt: sent for sent in history.sent}
    for run in history.runs:
        left_at = history.left_at_by_target.get(run.target)
        sent = sent_by_attempt.get(run.attempt)
        if left_at is None or sent is None or sent.sent_at <= left_at + DRAIN_S:
            continue
        since = left_at - STABLE_S
        if history.is_calm({sent.vm, "store"}, since, run.at):
            yield f"{run.attempt} reached {run.target} {run.at - left_at:.2f} s late"


@promise
def planned_stops(history: History) -> Iterator[str]:
    """A planned stop cuts no request that was passed on."""
    runs = history.runs_by_attempt()
    for stop in history.stops:
        for sent in history.sent:
            ours = (sent.vm, sent.start) == (stop.vm, stop.start)
            cut = sent.opened and sent.status is None and sent.attempt in runs
            if (
                not ours
                or not cut
                or not stop.at < sent.ended_at <= stop.ended_at + WAY_S
            ):
                continue
            # The target or the way to it may be the reason.
            names = {stop.vm, "targets"}
            if history.is_calm(names, stop.at - STABLE_S, sent.ended_at):
                yield f"{sent.attempt} was cut by the stop of {stop.vm}"
