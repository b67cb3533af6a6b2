"""The ASGI application that forwards requests to upstreams."""
