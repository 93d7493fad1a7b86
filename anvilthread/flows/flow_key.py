"""The identity of a flow."""

import socket
import struct
from typing import Final, NewType

#: Client host (4 bytes), client port (2), service host (4), service port (2),
#: each in network order.
FlowKey = NewType('FlowKey', bytes)

#: Host and port of a service as the last six bytes of a flow key.
Endpoint = NewType('Endpoint', bytes)

_PORT: Final = struct.Struct('!H')
_HOST_SIZE: Final = 4
_END_SIZE: Final = 6


def endpoint_of(key: FlowKey) -> Endpoint:
    """Returns the address and port that the client called."""
    return Endpoint(key[_END_SIZE:])


def pack_endpoint(host: str, port: int) -> Endpoint:
    """Packs the address and port of a service.

    Raises:
        OSError: If the host is not an IPv4 address.
        struct.error: If the port is not between 0 and 65535.
    """
    return Endpoint(socket.inet_aton(host) + _PORT.pack(port))


def client_host(key: FlowKey) -> str:
    """Returns the IPv4 address of the client."""
    return socket.inet_ntoa(key[:_HOST_SIZE])


def flow_name(key: FlowKey) -> str:
    """Writes a flow as ``client:port>service:port`` for logs."""
    return f'{_end_name(key[:_END_SIZE])}>{_end_name(key[_END_SIZE:])}'


def _end_name(end: bytes) -> str:
    port = _PORT.unpack(end[_HOST_SIZE:])[0]
    return f'{socket.inet_ntoa(end[:_HOST_SIZE])}:{port}'
