"""Operators' configurations: reading, checking, stamping out templates."""
