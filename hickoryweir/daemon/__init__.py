"""The daemon that combines the packages into one process."""
