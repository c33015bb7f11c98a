"""Stand-ins that simulate each peer, and the tools that run real programs with them.

:mod:`~hickoryweir.testing.demo` demonstrates the daemon,
:mod:`~hickoryweir.testing.drill` injects faults into it, and
:mod:`~hickoryweir.testing.soak` injects faults into routers and replicas that forward
by routes.  Drill and soak use the loopback proxy of
:mod:`~hickoryweir.testing.proxies`.
"""
