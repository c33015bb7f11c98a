"""Decisions of the forward path without I/O: admission, placement and retries."""
