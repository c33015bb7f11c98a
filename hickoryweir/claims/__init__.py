"""At-most-once execution: claims on idempotency keys and their outcomes.

A router proposes a claim to the replicated log before it dispatches a
non-idempotent call, and records the outcome in the log afterwards.  The modules:

- :mod:`hickoryweir.claims.keys`: the ``Idempotency-Key`` header.
- :mod:`hickoryweir.claims.commands`: commands proposed to the log.
- :mod:`hickoryweir.claims.verdicts`: verdicts that the log returns on them.
- :mod:`hickoryweir.claims.machine`: the deterministic state machine.
- :mod:`hickoryweir.claims.snapshots`: serialization of its state.
- :mod:`hickoryweir.claims.holders`: router process that holds a key.
- :mod:`hickoryweir.claims.queries`: the list of keys without a known outcome.
- :mod:`hickoryweir.claims.gateway`: claiming and recording at the router.
"""
