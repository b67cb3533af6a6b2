"""Load generator, pass-through baseline and latency benchmark."""
