"""Balancing of flows that are identified by their pair of addresses only.

This package uses no sockets, files or store itself: codecs, network, clock
and log are passed in. See docs/platform.md for the design.
"""
