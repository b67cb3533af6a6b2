"""Kernel service that admits requests by rate and burst."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.limits.admission import Admission


@service("admission", needs=("settings",))
@asynccontextmanager
async def provide_admission(kernel: Kernel) -> AsyncIterator[Admission]:
    """Provide admission by rate and burst."""
    yield Admission()
