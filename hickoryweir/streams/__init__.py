"""Framed msgpack streams between processes."""
