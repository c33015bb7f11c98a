"""Tests of the operators' port."""
