"""Waits for an event on the clock that a protocol was given."""

from anyio import create_task_group, Event

from primroseturn.clock import Clock


async def wait_for(event: Event, clock: Clock, limit_s: float) -> bool:
    """Return whether the event came within `limit_s` of the clock."""
    if event.is_set():
        return True
    async with create_task_group() as tasks:

        async def give_up() -> None:
            await clock.sleep(limit_s)
            tasks.cancel_scope.cancel()

        tasks.start_soon(give_up)
        await event.wait()
        tasks.cancel_scope.cancel()
    return event.is_set()
