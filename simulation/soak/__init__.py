"""The soak: the platform's daemons as real processes on loopback, under drawn troubles that overlap.

Some of its callers leave before their answers.
"""
