"""Passing opaque requests and event streams on to backend servers.

:mod:`~hickoryweir.forwarding.header_codec` says how requests and answers describe
themselves, :mod:`~hickoryweir.forwarding.server` listens for clients,
:mod:`~hickoryweir.forwarding.forwarder` carries a request through its attempts,
:mod:`~hickoryweir.forwarding.exchange` makes one attempt,
:mod:`~hickoryweir.forwarding.responses` passes what comes back on, and
:mod:`~hickoryweir.forwarding.server_pool` knows the backend servers.
"""
