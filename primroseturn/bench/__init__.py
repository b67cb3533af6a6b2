"""Load generator and measurements."""
