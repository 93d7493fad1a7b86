"""Flows that are known only by a pair of addresses.

Nothing here touches a socket, a file or the store: codecs, network, clock and
log are arguments. See docs/platform.md for the design.
"""
