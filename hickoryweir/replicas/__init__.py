"""Peer replicas: the replicated log."""
