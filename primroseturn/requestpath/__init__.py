"""The ASGI application with which `primroseturn daemon` forwards requests to upstreams.

The daemon is the proxy with the project's own interface: its settings, configuration
and administration API. `primroseturn entry` (`primroseturn.entry`) is the proxy for the
users' platform; it has an application of its own and shares with this one the checks
of headers, the bodies, the refusals, and the connections to targets.
"""
