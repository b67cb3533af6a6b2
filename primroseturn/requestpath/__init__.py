"""The ASGI application that carries requests to upstreams."""
