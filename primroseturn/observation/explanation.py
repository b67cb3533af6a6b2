"""Reconstructs from the logs of all VMs what happened to one request."""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import NamedTuple

from primroseturn.observation.timeline.records import Record

# Events of an entry VM that change its view of the fleet (docs/events.md).
STATE_EVENTS = frozenset((1100, 1101, 1105, 1106, 1107, 1120, 1121, 1123, 1131, 1132))
TARGET_EVENTS = frozenset((1103, 1104))
CONFIGURATION_APPLIED = 1100
ATTEMPT_ENDED = 1113
REQUEST_ENDS = frozenset((1110, 1111, 1112, 1115, 1116))
# Seconds before the end of a request from which state events are shown.
STATE_WINDOW_S = 30.0
# View age in seconds that a refusal states if the configuration was never confirmed.
NEVER_CONFIRMED_S = 1e6
# Attempts of other requests at the same targets are counted if they are at most this
# many seconds apart from the request.
TARGET_WINDOW_S = 5.0

# Called with the last event of a request and all its events; returns a sentence.
Explainer = Callable[[Record, list[Record]], str]
explainers_by_kind: dict[str, Explainer] = {}


# Explanations of a refusal for exceeding a rate, by its reason.
RATE_REASONS = {
    "over-rate": (
        "The workspace {workspace} was over its rate, counted over all VMs (reason "
        "over-rate)."
    ),
    "cut-off": (
        "The VM was cut off from a part of the fleet and reserved the rate of the VMs "
        "out of reach; by the counts it had, the workspace {workspace} was within its "
        "rate (reason cut-off)."
    ),
    "just-started": (
        "The VM had just started, or the workspace {workspace} was new to it, so it "
        "had not received the fleet's demand yet (reason just-started)."
    ),
    "unreported": (
        "More requests of the workspace {workspace} arrived at this VM at once than it "
        "admits before it has reported them to the other VMs (reason unreported)."
    ),
}


class Explanation(NamedTuple):
    """Events, state and cause that the logs show for one request.

    Attributes
    ----------
    records
        The events of the request, in order.
    state
        State of its VM: the last state event of each kind within `STATE_WINDOW_S`
        before the end.
    targets
        A line per target that it was sent to, with the outcomes that all VMs logged.
    cause
        Why the request ended as it did, in one or two sentences.
    """

    records: list[Record]
    state: list[Record]
    targets: list[str]
    cause: str


def cause(*kinds: str) -> Callable[[Explainer], Explainer]:
    """Register the decorated function as the explainer of ends of these kinds."""

    def register(function: Explainer) -> Explainer:
        for kind in kinds:
            explainers_by_kind[kind] = function
        return function

    return register


@cause("rate-exceeded")
def explain_rate(end: Record, request_records: list[Record]) -> str:
    """Explain a refusal because a rate was exceeded."""
    # Logs of earlier versions state no reason.
    text = RATE_REASONS.get(str(end.fields.get("reason")), RATE_REASONS["over-rate"])
    statement = text.format(workspace=repr(end.fields.get("workspace")))
    return (
        f"{statement} The request was not sent to any target. Detail: "
        f"{end.fields.get('detail')}."
    )


@cause("keys-stale")
def explain_stale_keys(end: Record, request_records: list[Record]) -> str:
    """Explain a refusal because the configuration was not confirmed recently."""
    if float(end.fields.get("view_age_s") or 0.0) >= NEVER_CONFIRMED_S:
        return (
            "The VM's configuration had not been confirmed since its start (event "
            "1120), so keys could not be checked against it yet."
        )
    return (
        f"The VM's configuration was last confirmed {end.fields.get('view_age_s')} s "
        "before. Beyond the age limit keys cannot be checked against it: the store was "
        "out of its reach (events 1105 and 1106). Within the limit, the key became "
        "invalid or the deadline passed before the first attempt."
    )


@cause("key-refused")
def explain_key(end: Record, request_records: list[Record]) -> str:
    """Explain a refusal because the key is missing or not in the configuration."""
    return (
        f"Version {end.fields.get('version')} of the configuration, confirmed "
        f"{end.fields.get('view_age_s')} s before, does not hold the caller's key, or "
        "the caller sent none."
    )


@cause("no-room")
def explain_no_room(end: Record, request_records: list[Record]) -> str:
    """Explain a refusal after attempts that were certainly not executed."""
    ends = Counter(
        str(item.fields.get("end"))
        for item in request_records
        if item.number == ATTEMPT_ENDED
    )
    if set(ends) <= {"not-run"}:
        return (
            "All targets with a logged attempt responded that they had no room (event "
            "1113)."
        )
    counts = ", ".join(f"{number} {end}" for end, number in sorted(ends.items()))
    return f"No target accepted the request: {counts} (event 1113)."


@cause("overloaded")
def explain_overload(end: Record, request_records: list[Record]) -> str:
    """Explain a refusal by the admission under load."""
    return (
        f"Service {end.fields.get('service')!r} had less capacity than requests, and "
        f"less urgent ones were withheld (reason {end.fields.get('reason')}); event "
        "1160 states rank and level."
    )


@cause("no-target")
def explain_no_target(end: Record, request_records: list[Record]) -> str:
    """Explain a refusal because no target could be chosen for the first attempt."""
    return (
        f"No target of service {end.fields.get('service')!r} could be chosen: none was "
        "listed (events 1103 and 1104), all were leaving or had just been unreachable "
        "to other requests, or the expected wait exceeded the time left."
    )


@cause("no-target-in-region")
def explain_region(end: Record, request_records: list[Record]) -> str:
    """Explain a refusal because no target in the allowed regions could be used."""
    return (
        f"The route or the workspace {end.fields.get('workspace')!r} allows only some "
        f"regions, and none of their targets of service {end.fields.get('service')!r} "
        "was listed, staying and reachable (events 1103, 1104 and 1150)."
    )


@cause("targets-cold")
def explain_cold(end: Record, request_records: list[Record]) -> str:
    """Explain a refusal because only cold targets were left."""
    return (
        f"All targets of service {end.fields.get('service')!r} that could be reached "
        "were cold or had been silent for a second (event 1151), and this VM might not "
        "send them a further request at this moment: it owns none of them or had used "
        "its part of their rate."
    )


@cause("upstream-failed", "answer-broken")
def explain_upstream_failure(end: Record, request_records: list[Record]) -> str:
    """Explain why a caller got no complete response of a target."""
    return (
        "No whole response of a target was delivered, for example because the target "
        "broke off or sent an invalid response, sending to the caller failed or the VM "
        "stopped (see the detail of the end). The request may have been executed; if "
        "event 1113 was logged, it names the target and a detail."
    )


@cause("deadline-exceeded")
def explain_deadline(end: Record, request_records: list[Record]) -> str:
    """Explain that a request's deadline passed."""
    return (
        f"The request's deadline had passed after {end.fields.get('age_s')} s; "
        f"executed at a target: {end.fields.get('ran')}."
    )


@cause("not-ready", "route-missing")
def explain_configuration(end: Record, request_records: list[Record]) -> str:
    """Explain a refusal that follows from the configuration or from its absence."""
    version = end.fields.get("version")
    is_unconfirmed = float(end.fields.get("view_age_s") or 0.0) >= NEVER_CONFIRMED_S
    if end.fields.get("kind") == "not-ready" and version and is_unconfirmed:
        return (
            f"Version {version} of the VM's configuration had not been confirmed since "
            "its start (event 1120), so it may not be the newest one: the store was "
            "out of its reach (event 1105), or had come back from an older copy (event "
            "1142) and nothing showed that it holds the newest one (event 1146)."
        )
    return (
        f"The VM decided by version {version} of the configuration (0 if it had none): "
        f"{end.fields['detail']}."
    )


def explain_request(records: list[Record], request: str) -> Explanation | None:
    """Return the explanation of a request, or None if no event names it."""
    request_records = [
        item for item in records if item.fields.get("request") == request
    ]
    if not request_records:
        return None
    request_records.sort(key=lambda item: item.at_s)
    end = next(
        (item for item in reversed(request_records) if item.number in REQUEST_ENDS),
        request_records[-1],
    )
    return Explanation(
        request_records,
        find_state_before(records, end),
        list(describe_targets(records, request_records)),
        explain_end(end, request_records),
    )


def explain_end(end: Record, request_records: list[Record]) -> str:
    """Return why a request ended."""
    kind = str(end.fields.get("kind", ""))
    explain = explainers_by_kind.get(kind)
    if explain is not None:
        return explain(end, request_records)
    if end.number == 1110:
        return (
            f"The response of target {end.fields.get('target')} was forwarded: status "
            f"{end.fields.get('status')} after {end.fields.get('age_s')} s."
        )
    if end.number == 1115:
        return f"The caller disconnected after {end.fields.get('age_s')} s."
    return f"The logs end with event {end.number} ({end.name})."


def find_state_before(records: list[Record], end: Record) -> list[Record]:
    """Return the last state event of each kind on the VM before a request's end.

    Events earlier than `STATE_WINDOW_S` before the end are left out, except that by
    which the version that handled the request was put in force.
    """
    last_by_number: dict[int, Record] = {}
    for item in records:
        if (
            item.number in STATE_EVENTS
            and item.process == end.process
            and end.at_s - STATE_WINDOW_S <= item.at_s <= end.at_s
            and (
                item.number not in last_by_number
                or last_by_number[item.number].at_s <= item.at_s
            )
        ):
            last_by_number[item.number] = item
    applied = find_applied_version(records, end)
    if applied is not None:
        last_by_number[applied.number] = applied
    return sorted(last_by_number.values(), key=lambda item: item.at_s)


def find_applied_version(records: list[Record], end: Record) -> Record | None:
    """Return the event by which the version that handled a request was put in force."""
    return next(
        (
            item
            for item in reversed(records)
            if item.number == CONFIGURATION_APPLIED
            and item.process == end.process
            and item.at_s <= end.at_s
            and item.fields.get("version") == end.fields.get("version")
        ),
        None,
    )


def describe_targets(
    records: list[Record], request_records: list[Record]
) -> Iterator[str]:
    """Yield for each target of a request the outcomes that all VMs logged around it."""
    names = dict.fromkeys(
        item.fields["target"] for item in request_records if item.fields.get("target")
    )
    ended_at_s = request_records[-1].at_s
    for name in names:
        nearby_records = [
            item
            for item in records
            if item.fields.get("target") == name
            and abs(item.at_s - ended_at_s) <= TARGET_WINDOW_S
        ]
        failed = [item for item in nearby_records if item.number == ATTEMPT_ENDED]
        served = sum(item.number == 1110 for item in nearby_records)
        counts_by_end: dict[str, int] = {}
        for item in failed:
            end = str(item.fields.get("end"))
            counts_by_end[end] = counts_by_end.get(end, 0) + 1
        changed = [item for item in nearby_records if item.number in TARGET_EVENTS]
        changes = ", ".join(sorted({item.name for item in changed})) or "unchanged"
        yield (
            f"{name}: within {TARGET_WINDOW_S:g} s all VMs logged {served} served and "
            f"{counts_by_end or 'no failed'} attempts; its list entry: {changes}"
        )
