"""The simulator: the product's own owners on virtual time, a seeded network and seeded disks."""
