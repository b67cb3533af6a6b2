"""Runs the process of an entry VM until a signal asks it to stop."""

import gc
from collections.abc import Callable
from pathlib import Path
from signal import SIGHUP, SIGINT, SIGTERM

from anyio import Event, move_on_after, open_signal_receiver
from expression import Result

import primroseturn.entry.service
import primroseturn.observation.service  # noqa: F401
from primroseturn.entry.events import SETTINGS_APPLIED, SETTINGS_REFUSED
from primroseturn.failures import SettingsInvalid
from primroseturn.kernel.background import run_background
from primroseturn.kernel.kernel import Kernel, run_kernel
from primroseturn.settings.entry import EntrySettings

# Services stop in reverse order, so that readiness answers until callers are served.
ENTRY_SERVICES = ("follower", "entry-readiness", "entry-metrics", "entry")
# The settings file may change without a signal; this often its time is looked at, in
# seconds.
LOOK_INTERVAL_S = 2.0

Read = Callable[[], Result[EntrySettings, SettingsInvalid]]


class SettingsFile:
    """Applies the settings file again when it changes.

    Addresses and the VM's name stay as they were at the start; a change of them needs
    another start.
    """

    def __init__(self, path: Path, read: Read, kernel: Kernel) -> None:
        self.path = path
        self.read = read
        self.kernel = kernel
        self.asked = Event()
        self.modified_at = self.time()

    def time(self) -> float:
        """Return the time of the file's last change, 0 if there is none."""
        try:
            return self.path.stat().st_mtime
        except OSError:
            return 0.0

    async def follow(self) -> None:
        """Look at the file on each signal and again and again."""
        while True:
            with move_on_after(LOOK_INTERVAL_S):
                await self.asked.wait()
            modified_at = self.time()
            if self.asked.is_set() or modified_at != self.modified_at:
                self.asked = Event()
                self.modified_at = modified_at
                self.apply()

    def apply(self) -> None:
        """Read the file and put its bounds in force; a wrong file changes nothing."""
        events = self.kernel.find("events")
        result = self.read()
        if result.is_error():
            events.emit(SETTINGS_REFUSED, reason=str(result.error))
            return
        bounds = result.ok.bounds
        self.kernel.find("view").set_revoked_key_limit(bounds.revoked_key_limit_s)
        self.kernel.find("arrivals").set_bounds(
            bounds.repeat_ratio, bounds.repeat_window_s, bounds.repeat_extra
        )
        events.emit(SETTINGS_APPLIED, bounds=bounds)


async def run_entry(settings: EntrySettings, path: Path, read: Read) -> None:
    """Serve callers until SIGTERM or SIGINT.

    Parameters
    ----------
    path, read
        The settings file and how it is read again.
    """
    with open_signal_receiver(SIGTERM, SIGINT, SIGHUP) as signals:
        async with (
            run_kernel(ENTRY_SERVICES, {"settings": settings}) as kernel,
            run_background(kernel.find("events")) as background,
        ):
            file = SettingsFile(path, read, kernel)
            background.keep_running(file.follow)
            # Modules and services live as long as the process.
            gc.collect()
            gc.freeze()
            async for number in signals:
                if number != SIGHUP:
                    break
                file.asked.set()
