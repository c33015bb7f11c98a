"""Outcomes as values: refusals and failures."""
