"""Control messages of membership."""

from primroseturn.configuration.models import EntryVm
from primroseturn.control.messages import Message, message

NO_STAMP = -1


@message("heartbeat")
class Heartbeat(Message, frozen=True, array_like=True):
    """Says that the sender is alive, and what it has and has heard.

    Attributes
    ----------
    number
        Number of this round of heartbeats.
    echo_number, echo_hold_ms
        Newest number received from the receiver, 0 for none, and the time since
        then, rounded down. Together they date this message on the receiver's clock.
    version
        Configuration version in force at the sender.
    withdrawals_hash
        Hash of the sender's set of withdrawn keys.
    stamp_version, stamp_age_ms
        Newest freshness stamp; `NO_STAMP` as age for none. Ages are rounded up.
    listing_hash
        Hash of the versions of the sender's VM lists.
    entries
        Names of VMs and the time in ms since they are known to have been alive.
    place
        Where the sender is, stated while its VM list does not contain it.
    """

    number: int
    echo_number: int
    echo_hold_ms: int
    version: int
    withdrawals_hash: int
    stamp_version: int
    stamp_age_ms: int
    listing_hash: int
    entries: list[tuple[str, int]]
    place: EntryVm | None = None
