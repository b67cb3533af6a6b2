"""Emits numbered events through eliot with process and time fields."""

from collections.abc import Callable
from time import monotonic, time
from typing import Any
from uuid import uuid4

from eliot import log_message

from primroseturn.observation.catalogue import Event


class EventLog:
    """Emits the events of one daemon.

    Attributes
    ----------
    vm, incarnation
        The VM's name and the id of this start of its process.
    listeners
        Called with each event and its fields.
    """

    def __init__(self, vm: str, incarnation: str | None = None) -> None:
        self.vm = vm
        self.incarnation = incarnation or uuid4().hex[:12]
        self.sequence = 0
        self.listeners: list[Callable[[Event, dict[str, Any]], None]] = []

    def emit(self, event: Event, **fields: Any) -> None:
        """Write an event with its fields. Fields must hold no secrets."""
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
        for listener in self.listeners:
            listener(event, fields)
