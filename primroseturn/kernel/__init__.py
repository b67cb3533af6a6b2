"""Micro-kernel: registers, orders, starts and stops services."""
