"""The four programs: each puts its planes and edges together, and no more."""
