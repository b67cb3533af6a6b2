"""Kernel services for the VM lists."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from anyio import create_task_group, sleep

from primroseturn.failures import StoreUnavailable
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.membership.listing import LIST_PREFIX, Listing
from primroseturn.store.client import StoreClient

RETRY_DELAY_S = 0.5


async def follow_lists(store: StoreClient, listing: Listing) -> None:
    """Take over the VM lists from the store for ever."""
    revision = 0
    while True:
        try:
            for item in await store.list_objects(LIST_PREFIX):
                name = item.key.removeprefix(LIST_PREFIX)
                listing.install(name, item.version, item.value)
            revision, _ = await store.watch(LIST_PREFIX, revision)
        except StoreUnavailable:
            await sleep(RETRY_DELAY_S)


@service("listing", needs=("store",))
@asynccontextmanager
async def provide_listing(kernel: Kernel) -> AsyncIterator[Listing]:
    """Provide the VM lists and keep them up to date."""
    listing = Listing()
    async with create_task_group() as tasks:
        tasks.start_soon(follow_lists, kernel.find("store"), listing)
        yield listing
        tasks.cancel_scope.cancel()
