"""Tests of the callers package."""
