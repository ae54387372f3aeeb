"""The platform's list of workers, which this controller reads itself or receives from the controller that does.

Owns the endpoint list with its epoch and revision. Called by the controller and the packages proxies and shards.
"""
