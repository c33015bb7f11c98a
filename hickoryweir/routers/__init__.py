"""Peer routers: gossip and configuration fan-out."""
