"""Policy without I/O: admission, scheduling, placement and retries."""
