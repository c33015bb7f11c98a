"""Tests of the policy core."""
