"""Retry budget: a share of recent successes, per service."""

from math import exp

RATE_SPAN_S = 1.0
# Without a success for this long, saved retries expire.
LIFE_S = 10.0


class ServiceBudget:
    """Tokens of one service. Each success earns `ratio` of a retry."""

    def __init__(self, now: float) -> None:
        self.tokens = 0.0
        self.success_rate = 0.0
        self.succeeded_at = now

    def record_success(self, ratio: float, now: float) -> None:
        """Earn a part of a retry.

        The saved tokens are limited to the ratio of one second's successes, so
        that a full outage starts with at most that share of added load.
        """
        elapsed = max(0.0, now - self.succeeded_at)
        self.success_rate *= exp(-elapsed / RATE_SPAN_S)
        self.success_rate += 1.0 / RATE_SPAN_S
        self.succeeded_at = max(now, self.succeeded_at)
        cap = max(1.0, ratio * self.success_rate)
        self.tokens = min(cap, self.tokens + ratio)

    def try_consume(self, now: float) -> bool:
        """Take one retry if one was earned."""
        if now - self.succeeded_at > LIFE_S:
            self.tokens = 0.0
        # Sums of a tenth may end just below a whole token.
        if self.tokens < 1.0 - 1e-9:
            return False
        self.tokens = max(0.0, self.tokens - 1.0)
        return True


class RetryBudget:
    """Retries and hedges that may be sent, by service."""

    def __init__(self, ratio: float = 0.1) -> None:
        self.ratio = ratio
        self.budgets_by_service: dict[str, ServiceBudget] = {}

    def try_consume(self, service: str, now: float) -> bool:
        """Take one retry or hedge of a service if the budget has one."""
        budget = self.budgets_by_service.get(service)
        return budget is not None and self.ratio > 0 and budget.try_consume(now)

    def record_success(self, service: str, now: float) -> None:
        """Take note of a successful exchange."""
        budget = self.budgets_by_service.get(service)
        if budget is None:
            budget = self.budgets_by_service[service] = ServiceBudget(now)
        budget.record_success(self.ratio, now)
