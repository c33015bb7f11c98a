"""Tests of the specification, and of the production code against it."""
