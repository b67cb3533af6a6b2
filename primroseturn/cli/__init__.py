"""Command line, thin over the library."""
