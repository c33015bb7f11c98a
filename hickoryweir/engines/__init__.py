"""Clients of the model engines: calls, orders, and load and cache reports."""
