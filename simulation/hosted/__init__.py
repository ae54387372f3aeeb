"""The users' platform in virtual time.

The product's own owners run among simulated clients, workers, operators and a simulated endpoint list.
"""
