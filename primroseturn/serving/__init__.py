"""HTTP listeners by hypercorn and small helpers for ASGI applications."""
