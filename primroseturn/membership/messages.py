"""Control messages of membership."""

from primroseturn.configuration.models import EntryVm
from primroseturn.control.messages import Message, message

NO_STAMP = -1
AGE_UNIT_S = 0.02
AGE_UNKNOWN = 255


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
    entry_version
        Version of the sender's list of entry VMs.
    ages_start, ages
        One byte per VM, in the order of their names in that list from a position
        on: the time since the VM is known to have been alive, in units of
        `AGE_UNIT_S`, rounded up, or `AGE_UNKNOWN`.
    own_entry
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
    entry_version: int
    ages_start: int
    ages: bytes
    own_entry: EntryVm | None = None
