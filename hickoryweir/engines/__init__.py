"""The model engines as a peer."""
