"""Asks the daemons of the fleet which version they have in force."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from anyio import create_task_group

from primroseturn.admin.paging import cut_page
from primroseturn.control.bus import Bus, Sender
from primroseturn.control.messages import Message, message
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service

REPLY_LIMIT_S = 1.0


@message("daemon-status-request")
class DaemonStatusRequest(Message, frozen=True, array_like=True):
    """Asks a daemon for its status."""


@message("daemon-status")
class DaemonStatus(Message, frozen=True, array_like=True):
    """What a daemon reports about itself.

    Attributes
    ----------
    reasons
        Why it is not ready; empty if it is.
    ejections
        Ejections in force in its view.
    """

    version: int
    preset: str
    reasons: list[str]
    ejections: int


class FleetStatus:
    """Answers peers and collects the status of a page of the listed VMs."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.bus: Bus = kernel.find("bus")
        self.bus.register_handler(DaemonStatusRequest, self.answer)

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

    async def answer(
        self, sender: Sender, body: DaemonStatusRequest
    ) -> DaemonStatus | None:
        """Answer a peer; nothing is answered while the daemon starts."""
        if "dispatcher" not in self.kernel.services_by_name:
            return None
        return self.describe()

    async def collect(self, query: dict[str, str]) -> dict[str, Any]:
        """Return the status of a page of VMs and the VMs that did not answer."""
        page = cut_page(self.kernel.find("listing").daemons_by_id, query)
        found: dict[str, DaemonStatus] = {}
        async with create_task_group() as tasks:
            for vm in page.names:
                tasks.start_soon(self.ask, vm, found)
        return {
            "vms": [
                {
                    "vm": vm,
                    "version": found[vm].version,
                    "preset": found[vm].preset,
                    "ready": not found[vm].reasons,
                    "reasons": found[vm].reasons,
                    "ejections": found[vm].ejections,
                }
                for vm in page.names
                if vm in found
            ],
            "unheard": [vm for vm in page.names if vm not in found],
            "next_after": page.next_after,
        }

    async def ask(self, vm: str, found: dict[str, DaemonStatus]) -> None:
        """Ask one VM and keep its answer."""
        if vm == self.bus.vm:
            found[vm] = self.describe()
            return
        reply = await self.bus.request(vm, DaemonStatusRequest(), REPLY_LIMIT_S)
        if reply.is_ok() and isinstance(reply.ok, DaemonStatus):
            found[vm] = reply.ok


@service("fleet-status", needs=("bus", "listing", "replica", "readiness", "dispatcher"))
@asynccontextmanager
async def provide_fleet_status(kernel: Kernel) -> AsyncIterator[FleetStatus]:
    """Provide the status of the fleet."""
    yield FleetStatus(kernel)
