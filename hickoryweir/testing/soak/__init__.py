"""A randomized soak of ``hickoryweir forward``: real processes, faults from outside.

``bin/soak --seed N --minutes M`` runs replicas and routers as processes on loopback,
backend servers behind proxies in its own process, callers and an operator.

- :mod:`~hickoryweir.testing.soak.cluster` starts and ends the processes;
- :mod:`~hickoryweir.testing.soak.backends` are the backend servers, which count;
- :mod:`~hickoryweir.testing.soak.callers` send requests over connections that they
  keep until these are gone, and replace tables;
- :mod:`~hickoryweir.testing.soak.faults` draws and brings about faults;
- :mod:`~hickoryweir.testing.soak.oracle` judges by what callers, backend servers and
  the operator saw.
"""
