"""Queries the daemons of the fleet for their status."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from anyio import create_task_group

from primroseturn.admin.paging import select_page
from primroseturn.control.bus import Bus, Sender
from primroseturn.control.messages import Message, message
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service

REPLY_TIMEOUT_S = 1.0


@message("daemon-status-request")
class DaemonStatusRequest(Message, frozen=True, array_like=True):
    """Requests the status of a daemon."""


@message("daemon-status")
class DaemonStatus(Message, frozen=True, array_like=True):
    """Status that a daemon reports about itself.

    Attributes
    ----------
    reasons
        Why the daemon is not ready; empty if it is ready.
    ejections
        Number of ejections in force in its view.
    """

    version: int
    preset: str
    reasons: list[str]
    ejections: int


class FleetStatus:
    """Replies to peers with this daemon's status, and collects a page of statuses."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.bus: Bus = kernel.find("bus")
        self.bus.register_handler(DaemonStatusRequest, self.reply_to_request)

    def describe(self) -> DaemonStatus:
        """Return the status of this daemon."""
        services = self.kernel.services_by_name
        state = services["replica"].state
        return DaemonStatus(
            state.version,
            state.preset_in_force.name,
            services["readiness"].reasons(),
            len(services["dispatcher"].ejector.ejections_by_key),
        )

    async def reply_to_request(
        self, sender: Sender, body: DaemonStatusRequest
    ) -> DaemonStatus | None:
        """Return the status for a peer, or None while the daemon starts."""
        if "dispatcher" not in self.kernel.services_by_name:
            return None
        return self.describe()

    async def collect(self, query: dict[str, str]) -> dict[str, Any]:
        """Return the status of a page of VMs, and the VMs that did not reply."""
        page = select_page(self.kernel.find("listing").daemons_by_vm, query)
        statuses_by_vm: dict[str, DaemonStatus] = {}
        async with create_task_group() as tasks:
            for vm in page.names:
                tasks.start_soon(self.query_vm, vm, statuses_by_vm)
        return {
            "vms": [
                {
                    "vm": vm,
                    "version": statuses_by_vm[vm].version,
                    "preset": statuses_by_vm[vm].preset,
                    "ready": not statuses_by_vm[vm].reasons,
                    "reasons": statuses_by_vm[vm].reasons,
                    "ejections": statuses_by_vm[vm].ejections,
                }
                for vm in page.names
                if vm in statuses_by_vm
            ],
            "unheard": [vm for vm in page.names if vm not in statuses_by_vm],
            "next_after": page.next_after,
        }

    async def query_vm(self, vm: str, statuses_by_vm: dict[str, DaemonStatus]) -> None:
        """Query one VM and add its status to `statuses_by_vm` if it replies."""
        if vm == self.bus.vm:
            statuses_by_vm[vm] = self.describe()
            return
        reply = await self.bus.request(vm, DaemonStatusRequest(), REPLY_TIMEOUT_S)
        if reply.is_ok() and isinstance(reply.ok, DaemonStatus):
            statuses_by_vm[vm] = reply.ok


@service("fleet-status", needs=("bus", "listing", "replica", "readiness", "dispatcher"))
@asynccontextmanager
async def provide_fleet_status(kernel: Kernel) -> AsyncIterator[FleetStatus]:
    """Provide the status of the fleet."""
    yield FleetStatus(kernel)
