"""Budgets of retries and hedges (repeats), and hedging."""
