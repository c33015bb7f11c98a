"""Claims and outcomes of non-idempotent calls."""
