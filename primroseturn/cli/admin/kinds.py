"""Kinds of objects that commands accept."""

CHANGED_KINDS = ["workspace", "route", "service", "preset"]
KINDS = [*CHANGED_KINDS, "key", "preset-in-force"]
