"""The users' platform in virtual time.

The product's own owners between simulated clients, workers, list and operators.
"""
