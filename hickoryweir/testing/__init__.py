"""Small stand-ins of each peer."""
