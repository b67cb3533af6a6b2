"""Command line; its commands call the library and print results."""
