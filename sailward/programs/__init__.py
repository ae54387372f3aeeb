"""The four programs: each only wires an owner of state to its edges (sockets, disk, threads)."""
