"""The operators' port."""
