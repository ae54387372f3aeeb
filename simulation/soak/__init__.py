"""The soak test: the platform's daemons as real processes on loopback, under random faults that overlap.

Some of its callers disconnect before they are answered.
"""
