"""Event log of a simulated VM."""

from typing import Any

from primroseturn.observation.catalogue import Event, PART_FAILED, TASK_FAILED
from primroseturn.observation.events import EventLog


class TaskFailed(Exception):
    """A background task or other code of a simulated VM raised an error."""


class SimulationLog(EventLog):
    """Writes nothing, and ends the simulation when a task or other code fails."""

    def emit(self, event: Event, **fields: Any) -> None:
        """Raise an exception for errors that a daemon would log and survive."""
        if event in (PART_FAILED, TASK_FAILED):
            raise TaskFailed(fields)
