"""Stand-ins and helpers that the scripts of this review share."""
