"""What replicas hand on to every router: routing tables and the list of servers.

Each router keeps a connection to each replica.  A replica sends short beats; a
router that sees a higher version in one fetches the table from whoever has it first.
The replica that leads reads the list of backend servers for all and sends it on.

:mod:`~hickoryweir.feeds.messages` has the messages,
:mod:`~hickoryweir.feeds.publisher` the replicas' side and
:mod:`~hickoryweir.feeds.subscriber` the routers'.
"""
