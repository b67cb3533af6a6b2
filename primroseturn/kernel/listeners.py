"""Subscribers to changes of a state, which are called again after an error."""

from collections.abc import Callable
from typing import Any

from anyio import Event


class Listeners:
    """Calls subscribers, and calls those that raised an error again.

    A change of the state is announced only once. Without a repeated call, a subscriber
    that raised an error would have an outdated state until the next change. An error
    of one subscriber neither prevents the calls of the others nor interrupts the code
    that announces the change.

    Attributes
    ----------
    subscribers
        Functions that are called after each change of the state.
    failed
        Calls that raised an error and have to be repeated.
    errors
        Errors that are still to be raised.
    """

    def __init__(self) -> None:
        self.subscribers: list[Callable[..., None]] = []
        self.failed: dict[tuple[Callable[..., None], tuple[Any, ...]], None] = {}
        self.errors: list[Exception] = []
        self.wake_event = Event()
        self.is_repeating = False

    def notify(self, *arguments: Any) -> None:
        """Call all subscribers.

        Raises
        ------
        ExceptionGroup
            If subscribers raised errors and `repeat_forever` does not run.
        """
        for subscriber in self.subscribers:
            self.call_subscriber(subscriber, arguments)
        if self.errors and not self.is_repeating:
            self.raise_errors()

    def call_subscriber(
        self, subscriber: Callable[..., None], arguments: tuple[Any, ...]
    ) -> None:
        """Call one subscriber and record whether the call has to be repeated."""
        try:
            subscriber(*arguments)
        except Exception as error:
            self.failed[subscriber, arguments] = None
            self.errors.append(error)
            self.wake_event.set()
        else:
            self.failed.pop((subscriber, arguments), None)

    def raise_errors(self) -> None:
        """Raise the errors of subscribers since the last call."""
        errors, self.errors = self.errors, []
        raise ExceptionGroup("subscribers failed", errors)

    async def repeat_forever(self) -> None:
        """Repeat failed calls, and raise their errors.

        It runs as a background task, which logs the errors and is restarted after a
        delay.
        """
        self.is_repeating = True
        while True:
            self.wake_event = Event()
            for subscriber, arguments in list(self.failed):
                self.call_subscriber(subscriber, arguments)
            if self.errors:
                self.raise_errors()
            await self.wake_event.wait()
