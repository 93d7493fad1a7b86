"""Ports for servers of tests."""

import socket


def free_port() -> int:
    """Returns a TCP port of loopback that nothing uses at present."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])
