"""Shared state: registers changed by compare-and-set in two rounds at a majority."""
