"""Forwarding of opaque requests and event streams to backend servers.

:mod:`~hickoryweir.forwarding.header_codec` converts between headers and typed
metadata, :mod:`~hickoryweir.forwarding.server` listens for clients,
:mod:`~hickoryweir.forwarding.forwarder` handles one request with its retries,
:mod:`~hickoryweir.forwarding.server_selection` chooses the server of an attempt,
:mod:`~hickoryweir.forwarding.exchange` sends one attempt,
:mod:`~hickoryweir.forwarding.responses` forwards the response to the client, and
:mod:`~hickoryweir.forwarding.server_pool` tracks the backend servers.
"""
