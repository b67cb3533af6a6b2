"""The ASGI application with which `primroseturn daemon` forwards requests.

`primroseturn entry` has an application of its own in `primroseturn.entry`, which uses
the connections, pools, bodies, header rules and refusals of this package.
"""
