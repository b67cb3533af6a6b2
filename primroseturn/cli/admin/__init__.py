"""Commands of operators over the client of the administration API."""
