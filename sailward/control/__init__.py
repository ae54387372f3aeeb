"""The control process: voter, proposer, admin API, membership and leases, without I/O."""
