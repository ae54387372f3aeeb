"""sailward: a global load balancer that keeps each key of a sharded service at one worker."""

__version__ = "0.2.0"
