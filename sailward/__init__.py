"""sailward: a place-keeping global load balancer."""

__version__ = "0.2.0"
