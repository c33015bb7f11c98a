"""Peer replicas: the replicated log.

For the daemon: :func:`hickoryweir.replicas.node.make_node` runs a replica,
:func:`hickoryweir.replicas.client.make_client` reaches the log from any process, and
:class:`hickoryweir.replicas.machine.Submachine` describes a part of the state.
:func:`hickoryweir.replicas.inspect.check_folder` reads a data folder offline.

Inside: :mod:`~hickoryweir.replicas.raft` is the pure core (with ``elections``,
``replication``, ``membership``, ``transfer``, ``quorums`` and ``roles``),
:mod:`~hickoryweir.replicas.storage` and :mod:`~hickoryweir.replicas.recovery` write
and read the data folder, :mod:`~hickoryweir.replicas.disk` and
:mod:`~hickoryweir.replicas.links` are the tasks that own files and connections.
"""
