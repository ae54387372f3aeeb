"""The data file: records on disk, synced and read back."""
