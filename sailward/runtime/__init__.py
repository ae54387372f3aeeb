"""Running an owner in a process: event loop, host, settings file, logs."""
