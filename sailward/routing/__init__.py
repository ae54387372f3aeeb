"""Data plane: match, allow, draw, zone, worker, send on."""
