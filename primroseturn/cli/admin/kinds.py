"""Kinds of objects that can be changed, and those that can be listed."""

CHANGEABLE_KINDS = ["workspace", "route", "service", "preset"]
KINDS = [*CHANGEABLE_KINDS, "key", "preset-in-force"]
