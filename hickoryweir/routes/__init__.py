"""The routing table: routes by host and path prefix, services and client accounts.

:mod:`~hickoryweir.routes.model` defines the table, :mod:`~hickoryweir.routes.inifile`
decodes it, :mod:`~hickoryweir.routes.checks` validates it,
:mod:`~hickoryweir.routes.matching` finds the route and the client account of a request,
and :mod:`~hickoryweir.routes.store` keeps the newest table in the replicated log.
"""
