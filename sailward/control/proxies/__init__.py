"""Communication with proxies: subscriptions, pushes, the proxy registry and the health aggregated from reports.

Owns the versions that each proxy has, the registry of live proxies and the aggregation of their reports. Called by the
controller, the shards package and administration.
"""
