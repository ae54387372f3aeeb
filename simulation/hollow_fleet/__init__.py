"""Many daemons in one process: the product's own owners on virtual time, over a network that counts."""
