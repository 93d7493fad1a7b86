"""Structured logs, metrics and the health endpoint.

The modules are imported one by one: a program that only writes logs does not
load the libraries of metrics.
"""
