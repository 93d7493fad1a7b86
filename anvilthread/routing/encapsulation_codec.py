"""Wire form of encapsulated datagrams."""

import struct
from socket import inet_aton, inet_ntoa
from typing import Final

import msgspec

from anvilthread.address import Address
from anvilthread.routing.datagram_kind import DatagramKind
from anvilthread.routing.encapsulated import Encapsulated
from anvilthread.transport.datagram_authenticator import (
    TAG_SIZE,
    DatagramAuthenticator,
)

#: Version, kind, service, service address, client, balancer, alternate, hops.
_HEADER: Final = struct.Struct('!BBH6s6s6s6sB')
#: The header fields before and after the client.
_START: Final = struct.Struct('!BBH6s')
_END: Final = struct.Struct('!6s6sB')
_FORWARD: Final = struct.Struct(f'!{_START.size}s4sH{_END.size}s')
#: Service and its address, client's host, client's port.
_ANSWER_FIELDS: Final = struct.Struct('!8s4sH')
_VERSION: Final = 1
#: All zeros, which is port 0, stand for no alternate.
_NO_ALTERNATE: Final = bytes(Address.packed_size)
_KINDS: Final = {int(kind): kind for kind in DatagramKind}
_ANSWER_START: Final = bytes((_VERSION, DatagramKind.ANSWER))
_ANSWER_FIELDS_AT: Final = TAG_SIZE + len(_ANSWER_START)

#: Bytes that encapsulation adds to a packet.
OVERHEAD_SIZE: Final = _HEADER.size + TAG_SIZE


class Answer(msgspec.Struct, gc=False):
    """The fields of a packet for a client that a balancer uses.

    Args:
        source: The service and its address as packed by
            :func:`answer_source`.
        client: Host and port of the client.
        payload: The QUIC datagram.
    """

    source: bytes
    client: tuple[str, int]
    payload: bytes


class EncapsulationCodec:
    """Encodes, authenticates and decodes encapsulated datagrams.

    Args:
        keys: Keys of the authentication tag, the current one first. The others
            are accepted during a key rotation.

    Raises:
        DatagramKeyError: If there is no key or a key has an invalid length.
    """

    __slots__ = ('_authenticator',)

    def __init__(self, *, keys: tuple[bytes, ...]) -> None:
        self._authenticator = DatagramAuthenticator(keys=keys, purpose=b'')

    def encode(self, datagram: Encapsulated) -> bytes:
        """Returns the tag, the header and the payload."""
        return self.encode_raw(
            kind=datagram.kind,
            service=datagram.service,
            service_address=datagram.service_address.pack(),
            client=datagram.client.pack(),
            balancer=datagram.balancer.pack(),
            payload=datagram.payload,
            alternate=_pack_optional(datagram.alternate),
            hops=datagram.hops,
        )

    def encode_raw(
        self,
        *,
        kind: int,
        service: int,
        service_address: bytes,
        client: bytes,
        balancer: bytes,
        payload: bytes,
        alternate: bytes = _NO_ALTERNATE,
        hops: int = 0,
    ) -> bytes:
        """Encodes a datagram from packed addresses, for the forwarding path."""
        header = _HEADER.pack(
            _VERSION,
            kind,
            service,
            service_address,
            client,
            balancer,
            alternate,
            hops,
        )
        return self._authenticator.seal(header + payload)

    def encode_forward(
        self, start: bytes, client: tuple[str, int], end: bytes, payload: bytes
    ) -> bytes:
        """Encodes a packet of an established connection.

        Args:
            start: Result of :func:`forward_start`.
            client: Host and port of the client.
            end: Result of :func:`forward_end`.
            payload: The QUIC datagram.
        """
        host, port = client
        header = _FORWARD.pack(start, inet_aton(host), port, end)
        return self._authenticator.seal(header + payload)

    def decode(self, wire: bytes) -> Encapsulated | None:
        """Returns the datagram, or None if it is malformed or its tag is wrong."""
        if len(wire) < OVERHEAD_SIZE or self._authenticator.open(wire) is None:
            return None
        (
            version,
            kind,
            service,
            service_address,
            client,
            balancer,
            alternate,
            hops,
        ) = _HEADER.unpack_from(wire, TAG_SIZE)
        if version != _VERSION or kind not in _KINDS:
            return None
        return Encapsulated(
            kind=_KINDS[kind],
            service=service,
            service_address=Address.unpack(service_address),
            client=Address.unpack(client),
            balancer=Address.unpack(balancer),
            payload=wire[OVERHEAD_SIZE:],
            alternate=_unpack_optional(alternate),
            hops=hops,
        )

    def decode_answer(self, wire: bytes) -> Answer | None:
        """Decodes a packet for a client without creating address objects.

        Returns:
            The packet, or None if the datagram is malformed, has a wrong tag
            or is of another kind.
        """
        if len(wire) < OVERHEAD_SIZE or self._authenticator.open(wire) is None:
            return None
        if wire[TAG_SIZE:_ANSWER_FIELDS_AT] != _ANSWER_START:
            return None
        source, host, port = _ANSWER_FIELDS.unpack_from(wire, _ANSWER_FIELDS_AT)
        return Answer(source, (inet_ntoa(host), port), wire[OVERHEAD_SIZE:])


def forward_start(*, service: int, service_address: bytes) -> bytes:
    """Returns the header of a forwarded packet up to the client's address."""
    kind = int(DatagramKind.FORWARD)
    return _START.pack(_VERSION, kind, service, service_address)


def forward_end(balancer: bytes) -> bytes:
    """Returns the header of a forwarded packet after the client's address."""
    return _END.pack(balancer, _NO_ALTERNATE, 0)


def answer_source(*, service: int, service_address: bytes) -> bytes:
    """Returns the packed value of :attr:`Answer.source`."""
    return service.to_bytes(2, 'big') + service_address


def _pack_optional(address: Address | None) -> bytes:
    return _NO_ALTERNATE if address is None else address.pack()


def _unpack_optional(packed: bytes) -> Address | None:
    return None if packed == _NO_ALTERNATE else Address.unpack(packed)
