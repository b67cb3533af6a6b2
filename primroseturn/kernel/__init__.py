"""Micro-kernel: registers, orders, starts and stops kernel services."""
