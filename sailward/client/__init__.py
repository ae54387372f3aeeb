"""Operators' side: the client of the controllers, and what it shows."""
