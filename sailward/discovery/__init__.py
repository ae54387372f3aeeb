"""Membership: the known daemons, the peers that each gossips with, and the platform's list of workers."""
