"""The users' platform in virtual time: the product's own owners between simulated clients, workers, list and operators."""
