"""Tells the load balancer whether this VM should get new connections."""

from collections.abc import Callable

from primroseturn.clock import time_since_boot
from primroseturn.entry.events import READINESS_CHANGED
from primroseturn.entry.view import FleetView
from primroseturn.observation.events import EventLog
from primroseturn.platform.wire import READY_PATH
from primroseturn.serving.http import answer


class EntryReadiness:
    """Ready while requests can be served: with fresh keys and listed targets.

    Parameters
    ----------
    awaits_fleet
        Returns whether this VM has just started and is about to hear the others.
    """

    def __init__(
        self, view: FleetView, events: EventLog, awaits_fleet: Callable[[], bool]
    ) -> None:
        self.view = view
        self.events = events
        self.awaits_fleet = awaits_fleet
        self.stopping = False
        self.was_ready = False

    def reason(self) -> str | None:
        """Return why this VM is not ready, or None."""
        if self.stopping:
            return "stopping"
        if self.view.configuration is None:
            return "no configuration"
        if not self.view.targets_by_id:
            return "no targets"
        if self.view.configuration.requires_key and not self.view.can_check_keys(
            time_since_boot()
        ):
            return "keys not confirmed"
        if self.awaits_fleet():
            return "fleet not heard"
        return None

    async def __call__(self, scope: dict, receive: object, send: object) -> None:
        """Answer the load balancer."""
        if scope["type"] != "http":
            return
        if scope["path"] != READY_PATH:
            await answer(send, 404)
            return
        reason = self.reason()
        if self.was_ready != (reason is None):
            self.was_ready = reason is None
            self.events.emit(READINESS_CHANGED, ready=reason is None, reason=reason)
        await answer(send, 503 if reason else 200, (reason or "ready").encode())
