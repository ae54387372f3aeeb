"""The simulator: runs the product's own daemon state machines on virtual time, a seeded network and seeded disks."""
