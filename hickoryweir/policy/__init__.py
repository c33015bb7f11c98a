"""Policy of the daemon without I/O: admission, scheduling, placement and retries."""
