"""Stand-ins and the fleet that the review's scripts share."""
