"""The test fleet: real processes on loopback. The one place that may start processes."""
