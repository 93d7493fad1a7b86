"""Whether the local target runs, by its TCP port."""

from typing import Final

from gevent import socket

#: Time for the operating system of the same VM to accept a connection.
_CONNECT_TIMEOUT_S: Final = 0.2


def is_listening(endpoint: tuple[str, int]) -> bool | None:
    """Connects to the health check port of the target, and disconnects.

    No request is sent, so the target loses no slot.

    Args:
        endpoint: Host and port of the target.

    Returns:
        Whether the target listens; None if that cannot be told.
    """
    try:
        connection = socket.create_connection(
            endpoint, timeout=_CONNECT_TIMEOUT_S
        )
    except ConnectionRefusedError:
        return False
    except OSError:
        return None
    connection.close()
    return True
