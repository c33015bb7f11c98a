"""Load generation and policy experiments."""
