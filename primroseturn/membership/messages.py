"""Control messages of membership."""

from primroseturn.configuration.models import EntryVm
from primroseturn.control.messages import Message, message

# Age in a heartbeat of a sender that has no freshness stamp.
NO_STAMP = -1
AGE_UNIT_S = 0.02
AGE_UNKNOWN = 255


@message("heartbeat")
class Heartbeat(Message, frozen=True, array_like=True):
    """States that the sender is alive, its versions, and when other VMs were alive.

    Attributes
    ----------
    number
        Number of this round of heartbeats.
    echo_number, echo_delay_ms
        Newest number received from the receiver, 0 for none, and the milliseconds
        since then, rounded down. From them the receiver computes a time on its own
        clock after which this message was sent.
    version
        Configuration version in force at the sender.
    withdrawals_hash
        Hash of the sender's set of withdrawn keys.
    stamp_version, stamp_age_ms
        Version of the newest freshness stamp and its age in milliseconds, rounded up;
        the age is `NO_STAMP` if there is none.
    listing_hash
        Hash of the versions of the sender's VM lists.
    entry_version
        Version of the sender's list of entry VMs.
    ages_start, ages
        Position of the first age in the list of entry VMs ordered by name, and one
        byte per VM from there on: the time since the VM was last known to be alive,
        in units of `AGE_UNIT_S`, rounded up, or `AGE_UNKNOWN`.
    own_entry
        The sender's own record, while the sender's list of entry VMs lacks it.
    """

    number: int
    echo_number: int
    echo_delay_ms: int
    version: int
    withdrawals_hash: int
    stamp_version: int
    stamp_age_ms: int
    listing_hash: int
    entry_version: int
    ages_start: int
    ages: bytes
    own_entry: EntryVm | None = None
