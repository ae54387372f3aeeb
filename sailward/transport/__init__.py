"""The thin edges on threads: sockets, HTTP, disk, logs, settings, and the loop of an owner."""
