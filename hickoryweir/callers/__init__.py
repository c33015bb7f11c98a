"""HTTP front for callers."""
