"""The test fleet: real processes on loopback. Only this package may start processes."""
