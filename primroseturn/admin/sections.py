"""Status sections about ejections, queues and limits."""

from typing import Any

from anyio import current_time

from primroseturn.admin.status import status_section
from primroseturn.kernel.kernel import Kernel

# Bounds the size of a status response at 340,000 workspaces and 92,000 targets.
MAX_ROWS = 100


@status_section("ejections")
def describe_ejections(kernel: Kernel) -> dict[str, Any]:
    """Return the ejected targets with their evidence, and the floor."""
    dispatcher = kernel.find("dispatcher")
    ejector, now = dispatcher.ejector, current_time()
    ejections = list(ejector.ejections_by_key.values())
    return {
        "floor": ejector.floor,
        "count": len(ejections),
        "path_suspected": dispatcher.monitor.path_suspected,
        "targets": [
            {
                **item.key._asdict(),
                "score": item.suspicion,
                "ejected_for_s": now - item.ejected_at,
                "trial_in_s": max(0.0, item.trial_due_at - now),
                "trials_passed": item.trials_passed,
            }
            for item in ejections[:MAX_ROWS]
        ],
    }


@status_section("queues")
def describe_queues(kernel: Kernel) -> dict[str, int]:
    """Return the number of queued requests by service, without empty queues."""
    queues = kernel.find("dispatcher").queues_by_service
    return {name: queue.size for name, queue in queues.items() if queue.size}


@status_section("limits")
def describe_limits(kernel: Kernel) -> dict[str, Any]:
    """Return tokens and loans of the workspaces that are active on this VM."""
    shares = kernel.find("admission").shares_by_workspace
    return {
        "active_workspaces": len(shares),
        "workspaces": {
            name: {
                "tokens": share.tokens,
                "rate": share.rate,
                "burst": share.burst,
                "borrowed_loans": len(share.borrowed_by_id),
                "lent_loans": len(share.lent_by_id),
            }
            for name, share in sorted(shares.items())[:MAX_ROWS]
        },
    }
