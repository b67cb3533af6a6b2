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
from primroseturn.routing.cold import cold_bound_of
from primroseturn.settings.entry import EntrySettings

# Kernel services stop in reverse order, so that readiness responds until the last
# callers are served.
ENTRY_SERVICES = ("follower", "entry-readiness", "entry-metrics", "entry")
# Seconds between checks of the settings file, which may change without a signal.
CHECK_INTERVAL_S = 2.0

ReadSettings = Callable[[], Result[EntrySettings, SettingsInvalid]]


class SettingsFile:
    """Applies the settings file again when it changes.

    Only the time limits for withdrawn keys, new versions, leaving targets and a planned
    stop and the bounds of repeats are applied. All other settings, such as addresses,
    require a restart.

    Attributes
    ----------
    reload_requested
        Set to read the file at once, even if it has not changed.
    modified_at
        Unix time in seconds of the file's last change that was seen.
    """

    def __init__(self, path: Path, read_settings: ReadSettings, kernel: Kernel) -> None:
        self.path = path
        self.read_settings = read_settings
        self.kernel = kernel
        self.reload_requested = Event()
        self.modified_at = self.read_modified_at()

    def read_modified_at(self) -> float:
        """Return the Unix time of the file's last change, 0 if it cannot be read."""
        try:
            return self.path.stat().st_mtime
        except OSError:
            return 0.0

    async def follow(self) -> None:
        """Apply the file on request, and when a check finds that it has changed."""
        while True:
            with move_on_after(CHECK_INTERVAL_S):
                await self.reload_requested.wait()
            modified_at = self.read_modified_at()
            if self.reload_requested.is_set() or modified_at != self.modified_at:
                self.reload_requested = Event()
                self.modified_at = modified_at
                self.apply()

    def apply(self) -> None:
        """Read the file and apply its time limits and its bounds of repeats.

        An invalid file changes nothing.
        """
        events = self.kernel.find("events")
        result = self.read_settings()
        if result.is_error():
            events.emit(SETTINGS_REFUSED, reason=str(result.error))
            return
        bounds = result.ok.bounds
        self.kernel.find("view").set_revoked_key_limit(bounds.revoked_key_limit_s)
        follower = self.kernel.find("follower")
        follower.reliance.set_limits(
            bounds.version_limit_s, bounds.leaving_limit_s, bounds.evacuation_limit_s
        )
        follower.configuration.confirmations.version_limit_s = bounds.version_limit_s
        self.kernel.find("stop-schedule").set_limit(bounds.stop_limit_s)
        self.kernel.find("arrivals").set_bounds(
            bounds.repeat_ratio, bounds.repeat_window_s, bounds.repeat_extra
        )
        self.kernel.find("placement").cold.set_bound(
            cold_bound_of(bounds.cold_overage, bounds.cold_slack)
        )
        events.emit(SETTINGS_APPLIED, bounds=bounds)


async def run_entry(
    settings: EntrySettings, path: Path, read_settings: ReadSettings
) -> None:
    """Serve callers until SIGTERM or SIGINT.

    Parameters
    ----------
    path
        The settings file.
    read_settings
        Reads the settings file again.
    """
    with open_signal_receiver(SIGTERM, SIGINT, SIGHUP) as signals:
        async with (
            run_kernel(ENTRY_SERVICES, {"settings": settings}) as kernel,
            run_background(kernel.find("events")) as background,
        ):
            file = SettingsFile(path, read_settings, kernel)
            background.keep_running(file.follow)
            # Modules and kernel services live as long as the process, so that later
            # garbage collections need not examine them.
            gc.collect()
            gc.freeze()
            async for signal in signals:
                if signal != SIGHUP:
                    break
                file.reload_requested.set()
