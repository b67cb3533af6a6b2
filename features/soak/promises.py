"""Promises that every soak must keep, checked on the records of callers and targets.

The bounds are those that the users' pages state.
"""

from collections.abc import Callable, Iterator

from features.soak.history import Execution, History, SentRequest, Version

# Longest time for which a withdrawn key may work, a former configuration may apply, and
# a draining target may receive requests.
MAX_WITHDRAWAL_DELAY_S = 5.0
MAX_APPLY_S = 2.0
MAX_DRAIN_S = 2.0
# Time without a disturbance that some promises require before the request they check.
UNDISTURBED_S = 3.0
# Time after the execution of a request in which its VM may still handle another one by
# an older version.
REORDERING_S = 0.25
RATE_WINDOW_S, OVERAGE_SHARE, SLACK_REQUESTS = 5.0, 0.1, 20
REPEAT_RATIO, REPEAT_EXTRA, REPEAT_WINDOW_S = 0.2, 58, 10.0
# Difference of the times that a caller and a target record for one request on the same
# machine.
RECORD_SKEW_S = 0.3
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)

Check = Callable[[History], Iterator[str]]
checks_by_name: dict[str, Check] = {}


def promise(check: Check) -> Check:
    """Register a check under its name."""
    checks_by_name[check.__name__] = check
    return check


def find_violations(history: History) -> list[str]:
    """Return a description of each violation of a promise."""
    return [
        f"{name}: {violation}"
        for name, check in checks_by_name.items()
        for violation in check(history)
    ]


@promise
def at_most_once(history: History) -> Iterator[str]:
    """At-most-once requests run at most once."""
    for attempt, executions in history.executions_by_attempt().items():
        if attempt.startswith("order") and len(executions) > 1:
            yield f"{attempt} ran {len(executions)} times"


@promise
def true_refusals(history: History) -> Iterator[str]:
    """An order that was refused as not executed never runs."""
    executions = history.executions_by_attempt()
    for sent in history.sent:
        is_refused = sent.kind == "order" and sent.status in NOT_EXECUTED_STATUSES
        if is_refused and sent.attempt in executions:
            yield f"{sent.attempt} got {sent.status} and ran"


@promise
def whole_answers(history: History) -> Iterator[str]:
    """A successful response is the target's complete response to this request."""
    for sent in history.sent:
        if sent.status == 200 and not sent.is_complete:
            yield f"{sent.attempt} got the body of another request or a part of its own"


@promise
def right_workspace(history: History) -> Iterator[str]:
    """Targets receive the workspace of the key and never the key."""
    workspaces: dict[str, str] = {}
    for version in history.versions:
        workspaces.update(version.workspaces_by_key)
    sent_by_attempt = {sent.attempt: sent for sent in history.sent}
    for execution in history.executions:
        if execution.is_key_forwarded:
            yield f"{execution.attempt} reached {execution.target} with its key"
        sent = sent_by_attempt.get(execution.attempt)
        if sent is not None and execution.workspace != workspaces.get(sent.key):
            yield f"{execution.attempt} ran for the workspace {execution.workspace}"


@promise
def withdrawn_keys(history: History) -> Iterator[str]:
    """A withdrawn key works no longer than `MAX_WITHDRAWAL_DELAY_S`.

    A request that was sent later with this key does not run.
    """
    executions = history.executions_by_attempt()
    for sent in history.sent:
        known = [item for item in history.versions if item.stored_at < sent.sent_at]
        granting = [item for item in known if sent.key in item.workspaces_by_key]
        if not known or sent.attempt not in executions or known[-1] in granting:
            continue
        if not granting:
            yield f"{sent.attempt} ran with a key that was in no version"
            continue
        withdrawn_at = known[known.index(granting[-1]) + 1].stored_at
        if sent.sent_at > withdrawn_at + MAX_WITHDRAWAL_DELAY_S:
            late_s = sent.sent_at - withdrawn_at
            yield (
                f"{sent.attempt} at {sent.vm} was sent {late_s:.2f} s after its key "
                "was withdrawn, and ran"
            )


def possible_versions(history: History, sent: SentRequest) -> list[Version]:
    """Return the versions that may be in force at a VM when a request is sent.

    A VM that was undisturbed applies a version within `MAX_APPLY_S` after the store has
    accepted it.
    """
    possible = [v for v in history.versions if v.written_at <= sent.ended_at]
    since = sent.sent_at - MAX_APPLY_S - UNDISTURBED_S
    if history.is_undisturbed({sent.vm, "store"}, since, sent.ended_at):
        known = [v for v in possible if v.stored_at + MAX_APPLY_S < sent.sent_at]
        possible = possible[max(0, len(known) - 1) :]
    return possible


@promise
def newest_configuration(history: History) -> Iterator[str]:
    """VMs handle requests by a version that may be in force."""
    executions = history.executions_by_attempt()
    for sent in history.sent:
        for execution in executions.get(sent.attempt, ()):
            allowed = {
                v.services_by_kind[sent.kind] for v in possible_versions(history, sent)
            }
            if execution.service not in allowed:
                yield (
                    f"{sent.attempt} at {sent.vm} was forwarded to the service "
                    f"{execution.service}"
                )


@promise
def no_step_back(history: History) -> Iterator[str]:
    """A VM never returns to an older version until its process is restarted."""
    executions = history.executions_by_attempt()
    versions_by_start: dict[tuple[str, int], list[tuple[float, int]]] = {}
    for sent in sorted(history.sent):
        for execution in executions.get(sent.attempt, ())[:1]:
            matching = matching_versions(history, sent, execution)
            start_versions = versions_by_start.setdefault((sent.vm, sent.start), [])
            if matching:
                start_versions.append((execution.at, min(matching)))
    for sent in history.sent:
        start_versions = versions_by_start.get((sent.vm, sent.start), [])
        earlier = [
            number for at, number in start_versions if at + REORDERING_S < sent.sent_at
        ]
        for execution in executions.get(sent.attempt, ())[:1]:
            matching = matching_versions(history, sent, execution)
            if earlier and matching and max(matching) < max(earlier):
                yield (
                    f"{sent.attempt} at {sent.vm} was handled by the older version "
                    f"{max(matching)}"
                )


def matching_versions(
    history: History, sent: SentRequest, execution: Execution
) -> list[int]:
    """Return the numbers of the versions by which a request may have been routed."""
    return [
        version.number
        for version in history.versions
        if version.written_at <= execution.at
        and version.services_by_kind[sent.kind] == execution.service
    ]


@promise
def rates(history: History) -> Iterator[str]:
    """No more requests of a workspace run in a window than its rate allows."""
    max_rates: dict[str, float] = {}
    for version in history.versions:
        for name, rate in version.rates_by_workspace.items():
            max_rates[name] = max(rate, max_rates.get(name, 0.0))
    first_by_attempt: dict[str, Execution] = {}
    for execution in history.executions:
        first_by_attempt.setdefault(execution.attempt, execution)
    for name, rate in max_rates.items():
        times = sorted(e.at for e in first_by_attempt.values() if e.workspace == name)
        allowed = (rate * RATE_WINDOW_S + rate) * (1 + OVERAGE_SHARE) + SLACK_REQUESTS
        for index, at in enumerate(times):
            count = sum(time < at + RATE_WINDOW_S for time in times[index:])
            if count > allowed:
                yield (
                    f"{name} ran {count} requests in {RATE_WINDOW_S} s, {allowed} are "
                    "allowed"
                )
                break


@promise
def repeats(history: History) -> Iterator[str]:
    """Repeated attempts of requests stay within the budget of all VMs."""
    first_attempts: set[str] = set()
    repeat_times: list[float] = []
    for execution in sorted(history.executions):
        if execution.attempt in first_attempts:
            repeat_times.append(execution.at)
        first_attempts.add(execution.attempt)
    request_times = [sent.sent_at for sent in history.sent]
    for index, at in enumerate(repeat_times):
        repeat_count = sum(time < at + REPEAT_WINDOW_S for time in repeat_times[index:])
        windows = (at, at - REPEAT_WINDOW_S / 2, at - REPEAT_WINDOW_S)
        request_count = max(
            sum(w <= t < w + REPEAT_WINDOW_S for t in request_times) for w in windows
        )
        if repeat_count > REPEAT_RATIO * request_count + REPEAT_EXTRA:
            yield (
                f"{repeat_count} repeats of {request_count} requests in "
                f"{REPEAT_WINDOW_S} s"
            )
            return


@promise
def leaving_targets(history: History) -> Iterator[str]:
    """No request sent over `MAX_DRAIN_S` after a target's drain began reaches it.

    This is checked for undisturbed VMs only.
    """
    sent_by_attempt = {sent.attempt: sent for sent in history.sent}
    for execution in history.executions:
        draining_at = history.draining_at_by_target.get(execution.target)
        sent = sent_by_attempt.get(execution.attempt)
        if (
            draining_at is None
            or sent is None
            or sent.sent_at <= draining_at + MAX_DRAIN_S
        ):
            continue
        since = draining_at - UNDISTURBED_S
        if history.is_undisturbed({sent.vm, "store"}, since, execution.at):
            yield (
                f"{execution.attempt} reached {execution.target} "
                f"{execution.at - draining_at:.2f} s after it started to drain"
            )


@promise
def planned_stops(history: History) -> Iterator[str]:
    """A planned stop of a VM cuts no request that was forwarded."""
    executions = history.executions_by_attempt()
    for stop in history.stops:
        for sent in history.sent:
            is_same_start = (sent.vm, sent.start) == (stop.vm, stop.start)
            is_cut = (
                sent.has_connected
                and sent.status is None
                and sent.attempt in executions
            )
            if (
                not is_same_start
                or not is_cut
                or not stop.at < sent.ended_at <= stop.ended_at + RECORD_SKEW_S
            ):
                continue
            # A fault of the target or of the path to it may also cut the request.
            subjects = {stop.vm, "targets"}
            if history.is_undisturbed(subjects, stop.at - UNDISTURBED_S, sent.ended_at):
                yield f"{sent.attempt} was cut by the stop of {stop.vm}"
