"""The proxy for entry VMs on the users' platform, run by `primroseturn entry`.

The users' platform has an object store, and formats of its own for the settings file,
the configuration, the list of targets and the headers of requests, which
`primroseturn.platform` decodes. The other proxy for entry VMs, `primroseturn daemon`,
has the project's own interface instead (`primroseturn.requestpath`).
"""
