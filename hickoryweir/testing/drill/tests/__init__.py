"""Tests of the drill package."""
