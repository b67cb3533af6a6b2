"""Subscribers of a state, which get it again after an error of theirs."""

from collections.abc import Callable
from typing import Any

from anyio import Event


class Listeners:
    """Calls subscribers, and calls those again that raised.

    The state that they are told of has changed already and is not announced a second
    time, so without this one error would leave a subscriber behind until the next
    change. An error neither keeps the news from other subscribers nor stops whoever
    brings it.
    """

    def __init__(self) -> None:
        self.callbacks: list[Callable[..., None]] = []
        self.failed: dict[tuple[Callable[..., None], tuple[Any, ...]], None] = {}
        self.errors: list[Exception] = []
        self.woken = Event()
        self.repeating = False

    def notify(self, *arguments: Any) -> None:
        """Call all subscribers.

        Raises
        ------
        ExceptionGroup
            If some raised and `repeat_forever` does not run.
        """
        for callback in self.callbacks:
            self.call(callback, arguments)
        if self.errors and not self.repeating:
            self.raise_errors()

    def call(self, callback: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        """Call one subscriber and note whether it has to be called again."""
        try:
            callback(*arguments)
        except Exception as error:
            self.failed[callback, arguments] = None
            self.errors.append(error)
            self.woken.set()
        else:
            self.failed.pop((callback, arguments), None)

    def raise_errors(self) -> None:
        """Raise what was raised since the last time."""
        errors, self.errors = self.errors, []
        raise ExceptionGroup("subscribers failed", errors)

    async def repeat_forever(self) -> None:
        """Call subscribers that raised again, and raise their errors to be logged."""
        self.repeating = True
        while True:
            self.woken = Event()
            for callback, arguments in list(self.failed):
                self.call(callback, arguments)
            if self.errors:
                self.raise_errors()
            await self.woken.wait()
