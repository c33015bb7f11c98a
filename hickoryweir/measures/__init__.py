"""Benchmarks, each named after the package that it measures.

Unlike the packages that make up the daemon, they start processes and import the
stand-ins of :mod:`hickoryweir.testing`.  Run one with
``python -m hickoryweir.measures.NAME``.
"""
