"""Typed JSON settings of a process."""
