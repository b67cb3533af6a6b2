"""Kernel service for claims of operations that must not repeat."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from primroseturn.claims.direct import DirectClaims
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service


@service("claims", needs=("store",))
@asynccontextmanager
async def provide_claims(kernel: Kernel) -> AsyncIterator[DirectClaims]:
    """Provide claims of operations that must not repeat."""
    yield DirectClaims(kernel.find("store"))
