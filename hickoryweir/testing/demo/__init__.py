"""The demonstration: three entry VMs, stand-ins and a burst of mixed calls.

``bin/demo`` runs :mod:`hickoryweir.testing.demo.main`.  The stand-ins and the
callers run in its process; each entry VM is a separate process started with
``hickoryweir serve``.
"""
