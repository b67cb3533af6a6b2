"""Rate and burst of workspaces over all VMs, from counts that VMs exchange.

Answers the load of a workspace that sends many times its rate through all VMs, while
the others must not notice. No VM holds tokens: each knows what the others admitted
some tenths of a second ago and admits its part of what is left.
"""

from primroseturn.entry.models import Workspace


class FleetQuota:
    """Admits requests of workspaces within their rate."""

    def admit(self, workspace: Workspace, now: float) -> float:
        """Admit a request or return the time in seconds until there is room."""
        return 0.0
