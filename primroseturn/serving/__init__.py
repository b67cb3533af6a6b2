"""HTTP listeners with hypercorn, and helpers for ASGI applications."""
