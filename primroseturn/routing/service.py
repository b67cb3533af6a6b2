"""Kernel services for routes and targets."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.routing.balancer import Balancer
from primroseturn.routing.dispatcher import Dispatcher
from primroseturn.routing.router import Router


@service("dispatcher", needs=("listing",))
@asynccontextmanager
async def provide_dispatcher(kernel: Kernel) -> AsyncIterator[Dispatcher]:
    """Provide the choice of targets."""
    yield Dispatcher(Balancer(kernel.find("listing"), Random()))


@service("router", needs=("replica",))
@asynccontextmanager
async def provide_router(kernel: Kernel) -> AsyncIterator[Router]:
    """Provide the routes of the configuration in force."""
    router = Router()
    replica = kernel.find("replica")
    replica.subscribe(lambda state: router.install(state.routes_by_name))
    yield router
