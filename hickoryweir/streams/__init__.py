"""Framed msgpack streams between processes.

:mod:`~hickoryweir.streams.codec` turns typed messages into bytes and back,
:mod:`~hickoryweir.streams.handshake` says who connects and what for,
:mod:`~hickoryweir.streams.hub` listens and connects, and
:mod:`~hickoryweir.streams.connections` sends and receives.
"""
