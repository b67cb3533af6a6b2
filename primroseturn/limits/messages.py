"""Messages that lend rate, burst and tokens between VMs."""

from primroseturn.control.messages import Message, message


@message("loan-request")
class LoanRequest(Message, frozen=True, array_like=True):
    """Asks an owner for a loan and for more time on earlier ones.

    Attributes
    ----------
    request_id
        Unique over all incarnations of all VMs. The grant repeats it, because a
        restarted borrower must not take a grant for its predecessor: it would count
        the loan's life from a later moment than the owner.
    tokens, rate, burst
        Wanted at most. `tokens` never exceeds `burst`.
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
    """Answers a `LoanRequest`.

    Attributes
    ----------
    loan_id
        Empty if nothing is lent.
    extended
        Ids of the loans that were extended.
    owners
        VMs that hold units of the workspace as far as the owner knows.
    wait_s
        After what time a new request may succeed, if nothing is lent.
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
    """Gives a loan back early with the tokens that the borrower no longer holds."""

    workspace: str
    loan_id: str
    tokens: float
