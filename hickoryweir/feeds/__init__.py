"""Distribution of routing tables and the server list from replicas to routers.

Each router keeps a connection to each replica.  Replicas send short heartbeats; a
router that sees a higher table version in one fetches the table from that replica.
The leader reads the list of backend servers and sends it to all routers.

:mod:`~hickoryweir.feeds.messages` defines the messages,
:mod:`~hickoryweir.feeds.publisher` the replicas' side, and
:mod:`~hickoryweir.feeds.subscriber` the routers'.
"""
