"""The demonstration: three entry VMs, stand-ins and a mixed burst of callers.

``bin/demo`` runs :mod:`hickoryweir.testing.demo.main`.  The stand-ins and the
callers live in its process; each entry VM is a process of its own, started by
``hickoryweir serve``.
"""
