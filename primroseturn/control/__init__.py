"""Typed control messages and the bus between daemons."""
