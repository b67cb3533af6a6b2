"""Detection profiles that presets refer to by name."""

from typing import NamedTuple


class Profile(NamedTuple):
    """How quickly targets are ejected and returned.

    Attributes
    ----------
    detector
        Name in the registry of detectors.
    threshold
        Value of the detector's statistic at which its suspicion is 1.
    backoff_s
        Seconds from an ejection to the first trial request; doubles with each recent
        ejection and each failed trial of the target.
    """

    name: str
    detector: str = "cusum"
    threshold: float = 16.0
    backoff_s: float = 2.0


profiles_by_name = {
    "fast": Profile("fast", "cusum", 16.0, 2.0),
    "careful": Profile("careful", "cusum", 24.0, 5.0),
}
