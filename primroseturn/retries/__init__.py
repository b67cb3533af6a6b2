"""Retry budgets and hedging."""
