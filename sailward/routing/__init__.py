"""Data plane: match, allow, draw, hall, worker, send on."""
