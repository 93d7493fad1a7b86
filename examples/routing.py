"""Routes packets by encrypted connection IDs, also during a key rotation.

Run it with ``python -m examples.routing``.
"""

from typing import Final

from anvilthread.address import Address
from anvilthread.routing.connection_id import ConnectionId
from anvilthread.routing.connection_id_codec import ConnectionIdCodec
from anvilthread.routing.quic_header import destination_id

BOOKINGS: Final = 1
STATEMENTS: Final = 2
AGENT: Final = Address(host='10.0.2.1', port=7001)

_OLD_KEY: Final = bytes(range(16))
_NEW_KEY: Final = bytes(range(16, 32))
_SHORT_HEADER: Final = b'\x40'
_PROTECTED_PAYLOAD: Final = bytes(32)


def route(codec: ConnectionIdCodec, service: int, packet: bytes) -> str:
    """Returns the routing decision for a packet to the address of a service."""
    encrypted = destination_id(packet)
    found = None if encrypted is None else codec.decode(encrypted)
    if found is None:
        return 'dropped: no agent issued this connection ID'
    if found.service != service:
        return f'dropped: belongs to service {found.service}'
    return f'to agent {found.agent}'


def main() -> None:
    """Issues one connection ID and routes packets that carry it."""
    agent = ConnectionIdCodec(keys={0: _OLD_KEY}, active=0)
    issued = agent.encode(
        ConnectionId(service=BOOKINGS, agent=AGENT, incarnation=1, counter=0)
    )
    packet = _SHORT_HEADER + issued + _PROTECTED_PAYLOAD
    forged = _SHORT_HEADER + bytes(len(issued)) + _PROTECTED_PAYLOAD

    print('open connection:', route(agent, BOOKINGS, packet))
    print('other service:', route(agent, STATEMENTS, packet))
    print('forged:', route(agent, BOOKINGS, forged))

    rotated = ConnectionIdCodec(keys={0: _OLD_KEY, 1: _NEW_KEY}, active=1)
    print('after the rotation:', route(rotated, BOOKINGS, packet))
    removed = ConnectionIdCodec(keys={1: _NEW_KEY}, active=1)
    print('old key removed:', route(removed, BOOKINGS, packet))
    same = agent.reset_token(issued) == rotated.reset_token(issued)
    print('same reset token at every node:', same)


if __name__ == '__main__':
    main()
