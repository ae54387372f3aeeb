"""The shards of keyed services: who owns which key range, leases on them, their plan, moves and key loads.

Owns the table of shards and the leases granted to workers. Called by the controller alone.
"""
