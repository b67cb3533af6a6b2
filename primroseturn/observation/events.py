"""Emits numbered events as eliot messages that state their process and time."""

from collections.abc import Callable
from time import monotonic, time
from typing import Any
from uuid import uuid4

from eliot import log_message

from primroseturn.observation.catalogue import Event, LINES_LEFT_OUT, PART_FAILED
from primroseturn.observation.errors import describe_error, PART_FAILURES
from primroseturn.observation.volume import LogLimiter

Listener = Callable[[Event, dict[str, Any]], None]


class EventLog:
    """Emits the events of one process: a daemon or an entry VM's proxy.

    Attributes
    ----------
    vm, incarnation
        Name of the VM, and id of this start of its process.
    sequence
        Number of the last line that was written.
    listeners
        Called with each event and its fields, even if its line is left out.
    """

    def __init__(
        self,
        vm: str,
        incarnation: str | None = None,
        log_limiter: LogLimiter | None = None,
    ) -> None:
        self.vm = vm
        self.log_limiter = log_limiter
        self.incarnation = incarnation or uuid4().hex[:12]
        self.sequence = 0
        self.listeners: list[Listener] = []

    def emit(self, event: Event, **fields: Any) -> None:
        """Notify the listeners of an event and write its line.

        The fields must not contain secrets.
        """
        for listener in self.listeners:
            self.call_listener(listener, event, fields)
        self.write_limited(event, fields)

    def call_listener(
        self, listener: Listener, event: Event, fields: dict[str, Any]
    ) -> None:
        """Call a listener; its errors must not reach the code that emits the event."""
        try:
            listener(event, fields)
        except Exception as error:
            PART_FAILURES.labels("listener of events").inc()
            # Written without notifying the listeners, which could fail again.
            for description in describe_error(error):
                self.write_limited(
                    PART_FAILED, {"part": "listener of events", **description._asdict()}
                )

    def write_limited(self, event: Event, fields: dict[str, Any]) -> None:
        """Write the line of an event unless the limit of its kind is reached."""
        if self.log_limiter is not None:
            now = monotonic()
            for number, lines in self.log_limiter.pop_left_out(now).items():
                self.write(LINES_LEFT_OUT, {"left_out": number, "lines": lines})
            if not self.log_limiter.admit(event.number, now):
                return
        self.write(event, fields)

    def write(self, event: Event, fields: dict[str, Any]) -> None:
        """Write the line of an event."""
        self.sequence += 1
        log_message(
            message_type=event.name,
            event=event.number,
            vm=self.vm,
            incarnation=self.incarnation,
            sequence=self.sequence,
            monotonic_s=monotonic(),
            wall_s=time(),
            **fields,
        )
