"""Routes by host and path: the table that operators replace as a whole.

:mod:`~hickoryweir.routes.model` has the table, :mod:`~hickoryweir.routes.checks`
what makes one invalid, :mod:`~hickoryweir.routes.matching` the choice of a route and
of a client account, and :mod:`~hickoryweir.routes.store` the part of the replicated
log that keeps the newest table as it was sent.
"""
