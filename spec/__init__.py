"""Specification of the core protocol, checked exhaustively, and fuzzing.

Each model is a small explicit state machine with safety invariants and a set of
mutations: faults put into the protocol on purpose, each of which the checker
must refute with a counterexample.

- :mod:`spec.elections`: terms, votes and leaders.
- :mod:`spec.replication`: appending, acknowledging and committing entries.
- :mod:`spec.membership`: learners and changes of the voters.
- :mod:`spec.claims`: claims on one idempotency key.
- :mod:`spec.versions`: configuration versions at replicas and routers.
- :mod:`spec.check`: the command that checks them all.
- :mod:`spec.claims_fuzz`, :mod:`spec.cluster_fuzz`: the real code under an oracle.
- :mod:`spec.fuzz`: the command that fuzzes them on a fresh seed.
"""
