"""The router and replica processes of a site that forwards opaque requests.

:mod:`~hickoryweir.entry.router` runs on each entry VM and
:mod:`~hickoryweir.entry.replica` on the VMs with a disk.  External formats are
pluggable through :class:`~hickoryweir.entry.adapters.Adapters`, so the same processes
serve the project's own formats and those of a platform.
:mod:`~hickoryweir.entry.table_app` is the operators' HTTP application for all formats,
and :mod:`~hickoryweir.entry.reloading` applies changed settings at run time.
"""
