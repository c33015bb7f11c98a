"""Tests of the peer routers."""
