"""Tests of the services package."""
