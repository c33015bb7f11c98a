"""Tests of settings and configuration."""
