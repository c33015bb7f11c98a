"""Tests of the specification, and of the code against it."""
