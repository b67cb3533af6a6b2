"""Detection profiles that presets select."""

from typing import NamedTuple


class Profile(NamedTuple):
    """How quickly targets are ejected and admitted again.

    Attributes
    ----------
    detector, threshold
        Name in the registry of detectors, and where its suspicion reaches 1.
    backoff_s
        Time from an ejection to the first trial request; doubles on repetition.
    """

    name: str
    detector: str = "cusum"
    threshold: float = 16.0
    backoff_s: float = 2.0


profiles_by_name = {
    "fast": Profile("fast", "cusum", 16.0, 2.0),
    "careful": Profile("careful", "cusum", 24.0, 5.0),
}
