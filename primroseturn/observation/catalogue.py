"""Catalogue of numbered events, from which docs/events.md is rendered."""

from typing import NamedTuple


class Event(NamedTuple):
    """A numbered event with its name and a one-line meaning."""

    number: int
    name: str
    meaning: str


events_by_number: dict[int, Event] = {}


def define_event(number: int, name: str, meaning: str) -> Event:
    """Add an event to the catalogue and return it."""
    if number in events_by_number:
        raise ValueError(f"event {number} is defined twice")
    event = Event(number, name, meaning)
    events_by_number[number] = event
    return event


DAEMON_STARTED = define_event(100, "daemon-started", "A daemon serves callers.")
DAEMON_DRAINING = define_event(101, "daemon-draining", "A daemon has begun to drain.")
DAEMON_STOPPED = define_event(102, "daemon-stopped", "A daemon has stopped.")
PROCESS_CRASHED = define_event(
    103, "process-crashed", "An unexpected error in a task ends the process."
)
TASK_FAILED = define_event(
    104,
    "task-failed",
    "An unexpected error ended a background task; the process goes on.",
)
PART_FAILED = define_event(
    105,
    "part-failed",
    "An unexpected error in a part of the system; the calling request or loop goes on.",
)
CLOCK_PROBE_SENT = define_event(
    110,
    "clock-probe-sent",
    "A clock probe was sent to another VM, to find their clock offset.",
)
CLOCK_PROBE_RECEIVED = define_event(
    111, "clock-probe-received", "A clock probe of another VM arrived."
)
LINES_LEFT_OUT = define_event(
    120,
    "log-lines-left-out",
    "Log lines of an event were left out to bound the log volume.",
)
STORE_CALL_FAILED = define_event(300, "store-call-failed", "A store call failed.")
