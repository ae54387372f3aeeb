"""The operators' side: a client of the controllers, and the forecast that it shows."""
