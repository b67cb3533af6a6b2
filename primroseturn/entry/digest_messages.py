"""Messages of the fleet digests between entry VMs."""

from typing import Annotated, NamedTuple

from msgspec import Meta

from primroseturn.control.messages import Message, message
from primroseturn.entry.usage_repeats import NumberedUsage, UsageNumber
from primroseturn.limits.quota import Count, RankUsage, Usage
from primroseturn.membership.fleet import RegisteredVm


class OutcomeCount(NamedTuple):
    """Numbers of requests at a target by outcome.

    Attributes
    ----------
    missing
        Requests whose response was missing or not the target's.
    """

    target: str
    failed: Count
    succeeded: Count
    missing: Count = 0


class LoadReport(NamedTuple):
    """Number of requests that a target has reported to run or to queue."""

    target: str
    request_count: Count


class RefusalCount(NamedTuple):
    """Number of attempts that the targets of a service refused."""

    service: str
    refused: Count


class CenterReport(NamedTuple):
    """What the sender knows of the last digest from another data centre.

    Attributes
    ----------
    center
        The other data centre.
    aggregator
        VM that sent the digest.
    vm_count
        Number of VMs whose digests reach that aggregator, including itself.
    age_s
        Time in seconds since the digest was received.
    """

    center: str
    aggregator: str
    vm_count: Count
    age_s: Annotated[float, Meta(ge=0)]


@message("entry-vm-notice")
class VmNotice(Message, frozen=True, array_like=True):
    """Announces that the sender has started, or that it is about to stop."""

    vm: RegisteredVm
    is_stopping: bool = False


@message("entry-digest-3")
class Digest(Message, frozen=True, array_like=True):
    """Outcomes and usage since the sender's last digest, and last reported loads.

    The counts come from the sender alone; if `center` is set, from all VMs of that data
    centre; if `relayed` is set, from all data centres, without those that the receiver
    itself has reported.

    Attributes
    ----------
    center
        The data centre whose counts are added up; empty in a digest to a VM of the same
        data centre.
    live
        VMs of the sender's data centre that the sender considers live.
    reachable_count
        Number of VMs of the sender's data centre whose digests reach the sender,
        including itself.
    usage
        Numbers of requested and of admitted requests by workspace.
    relayed
        Whether the sender acts as the aggregator and has added up the counts of other
        VMs and its own. The receiver relays only counts that were not relayed to it, so
        that counts do not circulate between VMs that all act as the aggregator.
    center_reports
        Reports on the last digests of the other data centres, which the next
        aggregator needs.
    unreachable_count
        Number of VMs of the fleet whose digests do not reach the sender.
    remote_outcomes
        Outcomes at VMs of other data centres, in a relayed digest.
    usage_number
        Number of `usage` among all usage that this start of the sender has sent.
    repeated_usage
        Usage of earlier digests to the same receiver, which may have been lost.
    refusals
        Attempts that targets refused, by service; empty where the configuration does
        not distinguish ranks.
    rank_usage
        The less urgent part of the requests in `usage`. It is not repeated; what is
        lost counts as of the most urgent rank.
    """

    center: str = ""
    live: tuple[str, ...] = ()
    reachable_count: Count = 1
    outcomes: tuple[OutcomeCount, ...] = ()
    loads: tuple[LoadReport, ...] = ()
    usage: tuple[Usage, ...] = ()
    relayed: bool = False
    center_reports: tuple[CenterReport, ...] = ()
    unreachable_count: Count = 0
    remote_outcomes: tuple[OutcomeCount, ...] = ()
    usage_number: UsageNumber = 0
    repeated_usage: tuple[NumberedUsage, ...] = ()
    refusals: tuple[RefusalCount, ...] = ()
    rank_usage: tuple[RankUsage, ...] = ()
