"""Framed msgpack streams between processes.

:mod:`~hickoryweir.streams.codec` encodes and decodes typed messages,
:mod:`~hickoryweir.streams.handshake` identifies the peer and its purpose,
:mod:`~hickoryweir.streams.hub` accepts and opens connections, and
:mod:`~hickoryweir.streams.connections` sends and receives messages.
"""
