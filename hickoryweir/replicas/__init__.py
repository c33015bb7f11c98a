"""Peer replicas: the replicated log.

Entry points: :func:`hickoryweir.replicas.node.make_node` creates a replica,
:func:`hickoryweir.replicas.client.make_client` a client of the log for any process, and
:class:`hickoryweir.replicas.machine.Submachine` describes a part of the state.
:func:`hickoryweir.replicas.inspect.check_folder` reads a data folder offline.

Internals: :mod:`~hickoryweir.replicas.raft` is the pure core (with ``elections``,
``replication``, ``membership``, ``transfer``, ``quorums`` and ``roles``),
:mod:`~hickoryweir.replicas.storage` and :mod:`~hickoryweir.replicas.recovery` write
and read the data folder, :mod:`~hickoryweir.replicas.disk` and
:mod:`~hickoryweir.replicas.links` run the tasks that own files and connections.
"""
