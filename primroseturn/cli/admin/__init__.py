"""Commands for operators, which use the client of the administration API."""
