"""The proxy and directory processes: owners without I/O."""
