"""What operators see and order: the admin API, orders on zones, status and metrics.

Owns the operators' requests in flight. Called by the controller alone.
"""
