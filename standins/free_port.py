"""Free ports for test servers."""

import socket


def free_port() -> int:
    """Returns a loopback TCP port that is not in use at present."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])
