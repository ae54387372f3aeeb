"""The proxy and directory processes, as state machines without I/O."""
