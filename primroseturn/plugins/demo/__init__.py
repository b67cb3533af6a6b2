"""Demo of a small fleet in one process; registers the command `demo`."""

from primroseturn.plugins.demo.command import Demo

__all__ = ["Demo"]
