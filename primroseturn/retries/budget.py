"""Budget of repeats of one VM: a fraction of a service's recent successes.

Repeats are retries and hedges. Used by `primroseturn daemon`.
"""

from math import exp

SUCCESS_RATE_TIME_CONSTANT_S = 1.0
# Saved tokens expire after this time without a success.
TOKEN_LIFETIME_S = 10.0


class ServiceBudget:
    """Tokens for repeats of one service. Each success adds `ratio` of a token."""

    def __init__(self, now: float) -> None:
        self.tokens = 0.0
        self.success_rate = 0.0
        self.succeeded_at = now

    def record_success(self, ratio: float, now: float) -> None:
        """Add `ratio` of a token.

        The saved tokens are limited to `ratio` times the successes of one second (at
        least 1), so that in a full outage at most this many repeats are sent.
        """
        elapsed = max(0.0, now - self.succeeded_at)
        self.success_rate *= exp(-elapsed / SUCCESS_RATE_TIME_CONSTANT_S)
        self.success_rate += 1.0 / SUCCESS_RATE_TIME_CONSTANT_S
        self.succeeded_at = max(now, self.succeeded_at)
        max_tokens = max(1.0, ratio * self.success_rate)
        self.tokens = min(max_tokens, self.tokens + ratio)

    def try_consume(self, now: float) -> bool:
        """Consume one token if there is one. Returns whether there was."""
        if now - self.succeeded_at > TOKEN_LIFETIME_S:
            self.tokens = 0.0
        # Ten times 0.1 may sum to just below a whole token.
        if self.tokens < 1.0 - 1e-9:
            return False
        self.tokens = max(0.0, self.tokens - 1.0)
        return True


class RetryBudget:
    """Number of retries and hedges that may be sent, by service."""

    def __init__(self, ratio: float = 0.1) -> None:
        self.ratio = ratio
        self.budgets_by_service: dict[str, ServiceBudget] = {}

    def try_consume(self, service: str, now: float) -> bool:
        """Consume one retry or hedge of a service. Returns whether it is allowed."""
        budget = self.budgets_by_service.get(service)
        return budget is not None and self.ratio > 0 and budget.try_consume(now)

    def record_success(self, service: str, now: float) -> None:
        """Record a successful exchange, which adds to the budget."""
        budget = self.budgets_by_service.get(service)
        if budget is None:
            budget = self.budgets_by_service[service] = ServiceBudget(now)
        budget.record_success(self.ratio, now)
