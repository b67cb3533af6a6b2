"""Messages by which VMs lend each other rate, burst and tokens."""

from primroseturn.control.messages import Message, message


@message("loan-request")
class LoanRequest(Message, frozen=True, array_like=True):
    """Requests a loan from an owner, and the extension of earlier loans.

    Attributes
    ----------
    request_id
        Unique over all incarnations of all VMs. The grant repeats it, because a
        restarted borrower must not accept a grant for its predecessor: it would count
        the loan's duration from its own request, which is later than the owner's grant.
    tokens, rate, burst
        Largest amounts requested. `tokens` never exceeds `burst`.
    extend
        Ids of loans of this owner to extend.
    """

    request_id: str
    workspace: str
    tokens: float
    rate: float
    burst: float
    extend: tuple[str, ...] = ()


@message("loan-grant")
class LoanGrant(Message, frozen=True, array_like=True):
    """Reply to a `LoanRequest`.

    Attributes
    ----------
    loan_id
        Empty if nothing is lent.
    extended
        Ids of the loans that were extended.
    owners
        VMs that own units of the workspace, as far as the lender knows.
    wait_s
        Seconds after which a new request may succeed, if nothing is lent.
    """

    request_id: str
    loan_id: str
    tokens: float
    rate: float
    burst: float
    extended: tuple[str, ...] = ()
    owners: tuple[str, ...] = ()
    wait_s: float = 0.0


@message("loan-return")
class LoanReturn(Message, frozen=True, array_like=True):
    """Returns a loan before it ends, with the tokens that the borrower releases."""

    workspace: str
    loan_id: str
    tokens: float
