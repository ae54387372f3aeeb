"""The quorum group: membership, votes, state transfer to new voters, repair and disaster recovery.

Owns the identity, votes and learned values of this controller and its records on disk. Called by the controller and by
every other part of the control plane; imports none of them.
"""
