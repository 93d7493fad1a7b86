"""IPv4 address and port of a socket."""

import socket
import struct
from functools import total_ordering
from typing import Final, Self

from result import Err, Ok, Result

from anvilthread.error import AnvilthreadError

_PACKED_FORMAT: Final = struct.Struct('!4sH')
_MAX_PORT: Final = 65535


def is_host(text: str) -> bool:
    """Whether a text is a dotted-quad IPv4 address."""
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        # ValueError: it has characters that no address has, such as NUL.
        return False
    return True


class AddressError(AnvilthreadError):
    """A text is not an IPv4 address and port."""


@total_ordering
class Address:
    """An immutable IPv4 host and port.

    Args:
        host: Dotted-quad IPv4 address.
        port: Port number, 0 to 65535.
    """

    __slots__ = ('_hash', '_host', '_port')

    #: Length in bytes of the packed form.
    packed_size: Final = _PACKED_FORMAT.size

    def __init__(self, *, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._hash = hash((host, port))

    @property
    def host(self) -> str:
        """Dotted-quad IPv4 address."""
        return self._host

    @property
    def port(self) -> int:
        """Port number."""
        return self._port

    @property
    def endpoint(self) -> tuple[str, int]:
        """The ``(host, port)`` pair that the socket module uses."""
        return (self._host, self._port)

    @classmethod
    def parse(cls, text: str) -> Result[Self, AddressError]:
        """Parses ``host:port``.

        Args:
            text: For example ``127.0.0.1:4433``.

        Returns:
            The address, or an error that names the malformed text.
        """
        host, separator, port = text.rpartition(':')
        if not is_host(host):
            return Err(_malformed(text))
        if not (separator and port.isdecimal() and int(port) <= _MAX_PORT):
            return Err(_malformed(text))
        return Ok(cls(host=host, port=int(port)))

    @classmethod
    def unpack(cls, packed: bytes) -> Self:
        """Decodes the six-byte form that :meth:`pack` returns.

        Raises:
            struct.error: If ``packed`` is not six bytes long.
        """
        host, port = _PACKED_FORMAT.unpack(packed)
        return cls(host=socket.inet_ntoa(host), port=port)

    def pack(self) -> bytes:
        """Encodes the address as six bytes in network byte order."""
        return _PACKED_FORMAT.pack(socket.inet_aton(self._host), self._port)

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Address):
            return NotImplemented
        return self._host == other.host and self._port == other.port

    def __lt__(self, other: 'Address') -> bool:
        return self.pack() < other.pack()

    def __hash__(self) -> int:
        return self._hash

    def __str__(self) -> str:
        return f'{self._host}:{self._port}'

    def __repr__(self) -> str:
        return f"Address(host='{self._host}', port={self._port})"


def _malformed(text: str) -> AddressError:
    return AddressError(
        reason=f'address {text!r} is not an IPv4 host and port',
        remedy='write it as 192.0.2.1:4433',
    )
