"""What proxies are told and what they report: subscriptions, pushes, the registry and the aggregated health.

Owns which proxy has which version, the registry of live proxies and the fold of their reports. Called by the
controller, the shards' part and administration.
"""
