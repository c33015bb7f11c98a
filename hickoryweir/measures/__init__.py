"""Measuring tools, each named after the package that it measures.

They stand above the daemon: they start processes and use stand-ins, which the packages
that serve do not.  Run one with ``python -m hickoryweir.measures.NAME``.
"""
