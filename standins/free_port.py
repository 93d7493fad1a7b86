"""Free ports for test servers."""

import socket
from typing import Final

_MAX_ATTEMPTS: Final = 20


def free_port() -> int:
    """Returns a port that is in use on no local address, over TCP or UDP.

    Test clusters bind it on several loopback addresses and over both
    protocols; a port that another program has bound to all addresses, or over
    UDP only, would fail there.

    Raises:
        OSError: If none was found.
    """
    for _ in range(_MAX_ATTEMPTS):
        with socket.socket() as stream:
            stream.bind(('', 0))
            port = int(stream.getsockname()[1])
            if _is_free_for_datagrams(port):
                return port
    raise OSError('no port is free over both TCP and UDP')


def _is_free_for_datagrams(port: int) -> bool:
    with socket.socket(type=socket.SOCK_DGRAM) as datagrams:
        try:
            datagrams.bind(('', port))
        except OSError:
            return False
    return True
