"""Tests of the project's own conventions."""
