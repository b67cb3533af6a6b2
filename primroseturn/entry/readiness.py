"""Reports to the load balancer whether this VM should receive new connections."""

from collections.abc import Callable

from primroseturn.clock import time_since_boot
from primroseturn.entry.events import READINESS_CHANGED
from primroseturn.entry.view import VmView
from primroseturn.observation.events import EventLog
from primroseturn.platform.wire import READY_PATH
from primroseturn.serving.http import send_response


class EntryReadiness:
    """Serves the readiness check of the load balancer.

    The VM is ready while it can serve requests, which needs a configuration, listed
    targets, the evacuations where there may be some and, if the configuration requires
    keys, a recent confirmation of them. A VM that has just started also waits for the
    first fleet digests of the other VMs.

    Parameters
    ----------
    is_awaiting_fleet
        Returns whether this VM has just started and is about to receive the first
        digests of the other VMs.

    Attributes
    ----------
    is_stopping
        Whether the VM has begun to stop.
    was_ready
        Whether the VM was ready at the last check.
    """

    def __init__(
        self, view: VmView, events: EventLog, is_awaiting_fleet: Callable[[], bool]
    ) -> None:
        self.view = view
        self.events = events
        self.is_awaiting_fleet = is_awaiting_fleet
        self.is_stopping = False
        self.was_ready = False

    def reason(self) -> str | None:
        """Return why this VM is not ready, or None if it is ready."""
        if self.is_stopping:
            return "stopping"
        if self.view.configuration is None:
            return "no configuration"
        if not self.view.is_confirmed():
            return "configuration not confirmed"
        if not self.view.targets_by_id:
            return "no targets"
        if self.view.is_awaiting_evacuations():
            return "evacuations not known"
        if self.view.configuration.requires_key and not self.view.can_check_keys(
            time_since_boot()
        ):
            return "keys not confirmed"
        if self.is_awaiting_fleet():
            return "fleet not heard"
        return None

    async def __call__(self, scope: dict, receive: object, send: object) -> None:
        """Respond to a check of the load balancer."""
        if scope["type"] != "http":
            return
        if scope["path"] != READY_PATH:
            await send_response(send, 404)
            return
        reason = self.reason()
        if self.was_ready != (reason is None):
            self.was_ready = reason is None
            self.events.emit(READINESS_CHANGED, ready=reason is None, reason=reason)
        await send_response(send, 503 if reason else 200, (reason or "ready").encode())
