"""Failure drills end to end: real daemons, stand-ins, faults drawn by a seed.

Each entry VM is a process of its own, so that it can be killed and frozen as a
machine would be; the links between entry VMs run through relays in the driver's
process, which delay and cut them.  The oracle sees only what callers, backend
servers and operators see.
"""
