"""The proxy process of an entry VM on the users' platform.

Run by `primroseturn entry`, or without the command line by `python -m
primroseturn.entry`. The platform, which package `platform` adapts to, defines its
settings file, store, targets and headers. The other proxy, `primroseturn daemon`, has
an interface of its own; package `requestpath` forwards its requests.
"""
