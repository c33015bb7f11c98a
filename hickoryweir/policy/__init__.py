"""Pure decisions: admission, scheduling, placement, retry."""
