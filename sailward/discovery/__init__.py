"""Membership: who the daemons are, whom each watches, and the platform's list of workers."""
