"""Operators' configurations: parsing, checking, and expanding templates."""
