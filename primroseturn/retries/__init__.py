"""Retry and repeat budgets, and hedging."""
