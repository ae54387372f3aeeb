"""The owners of whole processes, put together from the planes."""
