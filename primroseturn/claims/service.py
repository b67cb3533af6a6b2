"""Kernel service for claims of operations that run at most once."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from time import time

from primroseturn.claims.claims import ClaimDependencies, Claims, run_claims
from primroseturn.claims.commit import SlotCommitter
from primroseturn.clock import MonotonicClock
from primroseturn.control.lookup import find_bus, find_members, registered_services
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service

NEEDS = ("settings", "events", "store", *registered_services("bus", "membership"))


@service("claims", needs=NEEDS)
@asynccontextmanager
async def provide_claims(kernel: Kernel) -> AsyncIterator[Claims]:
    """Provide claims of at-most-once operations."""
    settings, events = kernel.find("settings").claims, kernel.find("events")
    clock = MonotonicClock()
    committer = SlotCommitter(
        kernel.find("store"), clock, time, settings.slots, settings.retention_s
    )
    dependencies = ClaimDependencies(
        committer,
        find_bus(kernel, events.vm, events.incarnation),
        clock,
        Random(),
        find_members(kernel),
        settings.commit_interval_s,
        events,
    )
    async with run_claims(dependencies) as claims:
        yield claims
