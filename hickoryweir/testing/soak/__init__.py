"""A randomized soak test of ``hickoryweir forward`` with external fault injection.

``bin/soak --seed N --minutes M`` runs replicas and routers as processes on loopback.
Its own process runs callers, an operator, and backend servers behind proxies.

- :mod:`~hickoryweir.testing.soak.cluster` starts and stops the processes;
- :mod:`~hickoryweir.testing.soak.backends` runs the backend servers, which count
  executions;
- :mod:`~hickoryweir.testing.soak.callers` sends requests over persistent
  connections, and replaces tables;
- :mod:`~hickoryweir.testing.soak.faults` injects random faults;
- :mod:`~hickoryweir.testing.soak.notices` runs servers that crash on prompts, name
  limits, pause and leave;
- :mod:`~hickoryweir.testing.soak.oracle` checks the promises against what
  callers, backend servers and the operator observed.
"""
