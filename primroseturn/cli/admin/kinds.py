"""Kinds of objects that can be changed, and those that can be listed."""

CHANGED_KINDS = ["workspace", "route", "service", "preset"]
KINDS = [*CHANGED_KINDS, "key", "preset-in-force"]
