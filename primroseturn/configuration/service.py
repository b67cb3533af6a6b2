"""Kernel services that keep the replica up to date from the store."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from anyio import create_task_group, sleep

from primroseturn.configuration.log import LOG_PREFIX, read_changes
from primroseturn.configuration.replica import Replica
from primroseturn.failures import StoreUnavailable
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.store.client import StoreClient

RETRY_DELAY_S = 0.5


@service("replica")
@asynccontextmanager
async def provide_replica(kernel: Kernel) -> AsyncIterator[Replica]:
    """Provide this daemon's copy of the configuration."""
    yield Replica()


async def follow_log(store: StoreClient, replica: Replica) -> None:
    """Apply changes from the store for ever."""
    revision = 0
    while True:
        try:
            for change in await read_changes(store, replica.state.version):
                replica.apply(change)
            revision, _ = await store.watch(LOG_PREFIX, revision)
        except StoreUnavailable:
            await sleep(RETRY_DELAY_S)


@service("configuration", needs=("store", "replica"))
@asynccontextmanager
async def provide_configuration(kernel: Kernel) -> AsyncIterator[None]:
    """Follow the change log in the store."""
    async with create_task_group() as tasks:
        tasks.start_soon(follow_log, kernel.find("store"), kernel.find("replica"))
        yield
        tasks.cancel_scope.cancel()
