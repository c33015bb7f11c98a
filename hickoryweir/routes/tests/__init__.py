"""Tests of the routes."""
