"""Catalogue of numbered events. docs/events.md lists the same numbers."""

from typing import NamedTuple


class Event(NamedTuple):
    """A numbered event: its name and a one-line meaning."""

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
DAEMON_DRAINING = define_event(101, "daemon-draining", "A daemon began its stop.")
DAEMON_STOPPED = define_event(102, "daemon-stopped", "A daemon has stopped.")
PROCESS_CRASHED = define_event(
    103, "process-crashed", "An unexpected error of a task ends the process."
)
TASK_FAILED = define_event(
    104,
    "task-failed",
    "An unexpected error ended a background task; the process goes on.",
)
PART_FAILED = define_event(
    105,
    "part-failed",
    "An unexpected error of a part; the request or the loop that used it went on.",
)
CLOCK_PROBE_SENT = define_event(
    110, "clock-probe-sent", "A probe was sent, which dates the clocks of two VMs."
)
CLOCK_PROBE_RECEIVED = define_event(
    111, "clock-probe-received", "A probe of another VM arrived."
)
LINES_LEFT_OUT = define_event(
    120, "log-lines-left-out", "Lines of an event were left out to bound the volume."
)
STORE_CALL_FAILED = define_event(300, "store-call-failed", "A store call failed.")
