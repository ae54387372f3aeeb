"""The operators' side of a controller: the admin API, orders on zones, status and metrics.

Owns the operators' requests in flight. Only the controller calls it.
"""
