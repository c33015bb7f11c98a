"""Tests of the feeds."""
