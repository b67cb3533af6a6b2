"""Defines and runs the kernel services of a daemon."""

from contextlib import AbstractAsyncContextManager
from importlib import import_module

from primroseturn.kernel.kernel import Kernel, run_kernel
from primroseturn.settings.models import DaemonSettings

# Modules that register the kernel services of a daemon when they are imported.
SERVICE_MODULES = (
    "primroseturn.observation.service",
    "primroseturn.store.client",
    "primroseturn.control.service",
    "primroseturn.configuration.service",
    "primroseturn.membership.service",
    "primroseturn.detection.service",
    "primroseturn.replay.recorder",
    "primroseturn.routing.service",
    "primroseturn.limits.service",
    "primroseturn.claims.service",
    "primroseturn.serving.readiness",
    "primroseturn.requestpath.service",
    "primroseturn.admin.service",
    "primroseturn.observation.health",
    "primroseturn.observation.clocks",
)
# Services stop in reverse order. "callers" is last and stops first, so that health
# checks, digests and the administration API work until the drain has ended.
DAEMON_SERVICES = (
    "configuration",
    "withdrawals",
    "isolation",
    "retries",
    "hedging",
    "digests",
    "loads",
    "recorder",
    "admin",
    "metrics",
    "clock-probes",
    "callers",
)


def run_services(settings: DaemonSettings) -> AbstractAsyncContextManager[Kernel]:
    """Return the context in which all kernel services of a daemon run."""
    for module in SERVICE_MODULES:
        import_module(module)
    return run_kernel(DAEMON_SERVICES, {"settings": settings})
