"""The plain services as a peer."""
