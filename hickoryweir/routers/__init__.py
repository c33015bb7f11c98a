"""Peer routers: distribution of configuration versions, and gossip."""
