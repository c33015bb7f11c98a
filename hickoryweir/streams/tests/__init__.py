"""Tests of the streams."""
