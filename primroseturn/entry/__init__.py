"""The proxy process of an entry VM on the users' platform."""
