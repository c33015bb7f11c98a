"""The weight store as a peer."""
