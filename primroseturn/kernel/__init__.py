"""Service container: registers, orders, starts and stops the parts of a process."""
