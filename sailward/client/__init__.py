"""Operators' side: the client of the cellars, and what it shows."""
