"""Tests of the entry processes."""
