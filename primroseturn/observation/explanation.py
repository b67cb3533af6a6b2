"""Explains from the logs of all VMs what happened to one request."""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import NamedTuple

from primroseturn.observation.timeline.records import Record

# Events of an entry VM that change what it believes (docs/events.md).
STATE_EVENTS = frozenset((1100, 1101, 1105, 1106, 1107, 1120, 1121, 1123))
TARGET_EVENTS = frozenset((1103, 1104))
ATTEMPT_ENDED = 1113
REQUEST_ENDS = frozenset((1110, 1111, 1112, 1115, 1116))
# State of a VM that is shown from before a request, in seconds.
STATE_SPAN_S = 30.0
# Age in seconds that a refusal states while nothing has confirmed the configuration.
NEVER_CONFIRMED_S = 1e6
# Failures of other requests at the same targets that are counted around a request.
NEAR_S = 5.0

# Takes the last event of a request and all its events.
Cause = Callable[[Record, list[Record]], str]
causes_by_kind: dict[str, Cause] = {}


# What the reasons of a refusal for the rate mean.
RATE_REASONS = {
    "over-rate": (
        "The workspace {workspace} was over its rate over all VMs together (reason "
        "over-rate)."
    ),
    "cut-off": (
        "The VM was cut off from a part of the fleet and held back the rate of the VMs "
        "out of reach; as far as it knew, the workspace {workspace} was within its "
        "rate (reason cut-off)."
    ),
    "just-started": (
        "The VM had just started, or the workspace {workspace} was new to it, so it "
        "did not know the fleet's demand yet (reason just-started)."
    ),
    "unreported": (
        "More requests of the workspace {workspace} came to this VM at once than it "
        "admits before the other VMs know of them (reason unreported)."
    ),
}


class Explanation(NamedTuple):
    """What the logs say about a request.

    Attributes
    ----------
    records
        The events of the request, in order.
    state
        What its VM believed: the last event of each kind before the end.
    targets
        What was known of the targets that it was sent to.
    cause
        Why it ended as it did, in one sentence.
    """

    records: list[Record]
    state: list[Record]
    targets: list[str]
    cause: str


def cause(*kinds: str) -> Callable[[Cause], Cause]:
    """Register the sentence for ends of some kinds."""

    def register(function: Cause) -> Cause:
        for kind in kinds:
            causes_by_kind[kind] = function
        return function

    return register


@cause("rate-exceeded")
def explain_rate(end: Record, own: list[Record]) -> str:
    """Explain a refusal for the rate."""
    # Logs of earlier versions state no reason.
    text = RATE_REASONS.get(str(end.fields.get("reason")), RATE_REASONS["over-rate"])
    statement = text.format(workspace=repr(end.fields.get("workspace")))
    return (
        f"{statement} The request was not sent to any target. Detail: "
        f"{end.fields.get('detail')}."
    )


@cause("keys-stale")
def explain_stale(end: Record, own: list[Record]) -> str:
    """Explain a refusal because keys could not be checked."""
    if float(end.fields.get("view_age_s") or 0.0) >= NEVER_CONFIRMED_S:
        return (
            "The VM's configuration had not been confirmed since its start (event "
            "1120), so that keys could not be trusted yet."
        )
    return (
        f"The VM's configuration was last confirmed {end.fields.get('view_age_s')} s "
        "before, too long ago to trust keys: the store was out of its reach (events "
        "1105 and 1106)."
    )


@cause("key-refused")
def explain_key(end: Record, own: list[Record]) -> str:
    """Explain an unknown key."""
    return (
        f"Version {end.fields.get('version')} of the configuration, confirmed "
        f"{end.fields.get('view_age_s')} s before, does not hold the caller's key."
    )


@cause("no-room")
def explain_room(end: Record, own: list[Record]) -> str:
    """Explain a refusal after attempts that certainly did not run."""
    ends = Counter(
        str(item.fields.get("end")) for item in own if item.number == ATTEMPT_ENDED
    )
    if set(ends) <= {"not-run"}:
        return "All targets that were asked stated that they had no room (event 1113)."
    counts = ", ".join(f"{number} {end}" for end, number in sorted(ends.items()))
    return f"No attempt at a target reached one that had room: {counts} (event 1113)."


@cause("no-target")
def explain_no_target(end: Record, own: list[Record]) -> str:
    """Explain a refusal without an attempt."""
    return (
        f"No listed target of service {end.fields.get('service')!r} could be reached "
        "in the time that the caller had left (events 1103, 1104 and 1113)."
    )


@cause("upstream-failed", "answer-broken")
def explain_upstream(end: Record, own: list[Record]) -> str:
    """Explain a missing answer."""
    return (
        "The last target broke off, or what it sent was no whole answer; the request "
        "may have run there (event 1113 names target and detail)."
    )


@cause("deadline-exceeded")
def explain_deadline(end: Record, own: list[Record]) -> str:
    """Explain the end of a request's time."""
    return (
        f"The request's time was over after {end.fields.get('age_s')} s; it may have "
        f"run: {end.fields.get('ran')}."
    )


@cause("not-ready", "route-missing")
def explain_configuration(end: Record, own: list[Record]) -> str:
    """Explain a refusal by the configuration in force."""
    version = end.fields.get("version")
    return (
        f"Version {version} of the configuration was in force: {end.fields['detail']}."
    )


def explain_request(records: list[Record], request: str) -> Explanation | None:
    """Return what the logs say about a request, or None if nothing."""
    own = [item for item in records if item.fields.get("request") == request]
    if not own:
        return None
    own.sort(key=lambda item: item.at_s)
    end = next((item for item in reversed(own) if item.number in REQUEST_ENDS), own[-1])
    return Explanation(
        own,
        state_before(records, end),
        list(describe_targets(records, own)),
        why(end, own),
    )


def why(end: Record, own: list[Record]) -> str:
    """Return the cause of a request's end."""
    kind = str(end.fields.get("kind", ""))
    explain = causes_by_kind.get(kind)
    if explain is not None:
        return explain(end, own)
    if end.number == 1110:
        return (
            f"The answer of target {end.fields.get('target')} was passed on: status "
            f"{end.fields.get('status')} after {end.fields.get('age_s')} s."
        )
    if end.number == 1115:
        return f"The caller left after {end.fields.get('age_s')} s."
    return f"The logs end with event {end.number} ({end.name})."


def state_before(records: list[Record], end: Record) -> list[Record]:
    """Return the last event of each kind that shaped the VM's beliefs."""
    last: dict[int, Record] = {}
    for item in records:
        if (
            item.number in STATE_EVENTS
            and item.process == end.process
            and end.at_s - STATE_SPAN_S <= item.at_s <= end.at_s
            and (item.number not in last or last[item.number].at_s <= item.at_s)
        ):
            last[item.number] = item
    return sorted(last.values(), key=lambda item: item.at_s)


def describe_targets(records: list[Record], own: list[Record]) -> Iterator[str]:
    """Yield what all VMs saw of the targets of a request around its time."""
    names = dict.fromkeys(
        item.fields["target"] for item in own if item.fields.get("target")
    )
    at = own[-1].at_s
    for name in names:
        near = [
            item
            for item in records
            if item.fields.get("target") == name and abs(item.at_s - at) <= NEAR_S
        ]
        failed = [item for item in near if item.number == ATTEMPT_ENDED]
        served = sum(item.number == 1110 for item in near)
        ends: dict[str, int] = {}
        for item in failed:
            end = str(item.fields.get("end"))
            ends[end] = ends.get(end, 0) + 1
        listed = [item for item in near if item.number in TARGET_EVENTS]
        changes = ", ".join(sorted({item.name for item in listed})) or "unchanged"
        yield (
            f"{name}: within {NEAR_S:g} s all VMs logged {served} served and "
            f"{ends or 'no bad'} attempts; its entry: {changes}"
        )
