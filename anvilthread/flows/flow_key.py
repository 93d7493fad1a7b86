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
_HOST_BYTES: Final = 4
_ENDPOINT_BYTES: Final = 6


def endpoint_of(key: FlowKey) -> Endpoint:
    """Returns the service address and port of a flow."""
    return Endpoint(key[_ENDPOINT_BYTES:])


def pack_endpoint(host: str, port: int) -> Endpoint:
    """Packs the address and port of a service.

    Raises:
        OSError: If the host is not an IPv4 address.
        struct.error: If the port is not between 0 and 65535.
    """
    return Endpoint(socket.inet_aton(host) + _PORT.pack(port))


def client_of(key: FlowKey) -> bytes:
    """Returns the IPv4 address of the client, in network order."""
    return key[:_HOST_BYTES]


def client_host(key: FlowKey) -> str:
    """Returns the IPv4 address of the client."""
    return socket.inet_ntoa(key[:_HOST_BYTES])


def flow_name(key: FlowKey) -> str:
    """Formats a flow as ``client:port>service:port`` for logs."""
    return f'{_endpoint_name(key[:_ENDPOINT_BYTES])}>{_endpoint_name(key[_ENDPOINT_BYTES:])}'


def _endpoint_name(endpoint: bytes) -> str:
    port = _PORT.unpack(endpoint[_HOST_BYTES:])[0]
    return f'{socket.inet_ntoa(endpoint[:_HOST_BYTES])}:{port}'
