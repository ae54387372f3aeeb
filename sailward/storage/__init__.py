"""The data file: records written to disk, synced and read back."""
