"""The shards of keyed services: ownership of key ranges, their leases, their placement and their moves.

Owns the table of shards and the leases granted to workers. Called only by the controller.
"""
