"""sailward: a global load balancer with data residency (requests stay in the home regions of their tenants)."""

__version__ = "0.2.0"
