"""End-to-end fault injection: real daemons, stand-in servers, seeded random faults.

Each entry VM runs in its own process, which can be killed or suspended as a
machine would be.  Connections between entry VMs pass through proxies in the
driver's process, which delay and block them.  The oracle uses only what callers,
backend servers and operators can observe.
"""
