"""HTTP server for callers."""
