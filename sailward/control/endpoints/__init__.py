"""The platform's list of workers, as this controller reads it or hears it from the one that does.

Owns the endpoint list with its epoch and revision. Called by the controller, the proxies' part and the shards' part.
"""
