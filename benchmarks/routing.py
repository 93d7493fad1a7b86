"""Broken connections and cost per packet of routable connection IDs.

The same changes of targets and of the balancers' views are applied to
routable connection IDs and to hashing by client address.
"""

import time
from collections.abc import Callable, Sequence
from random import Random
from typing import Final

import msgspec

from anvilthread.address import Address
from anvilthread.routing.connection_id import ConnectionId
from anvilthread.routing.connection_id_codec import ConnectionIdCodec
from anvilthread.routing.datagram_kind import DatagramKind
from anvilthread.routing.encapsulated import Encapsulated
from anvilthread.routing.encapsulation_codec import EncapsulationCodec
from anvilthread.routing.quic_header import destination_id
from anvilthread.routing.rendezvous import hash_key, highest
from benchmarks.table import print_table

_SEED: Final = 1
_BALANCERS: Final = 4
_CONNECTIONS: Final = 2000
_PACKETS_PER_STEP: Final = 5
_PAYLOAD_SIZE: Final = 1200
_ROUNDS: Final = 7
_PACKETS: Final = 5000

_CODEC: Final = ConnectionIdCodec(keys={0: bytes(16)}, active=0)
_TAGS: Final = EncapsulationCodec(keys=(bytes(range(32)),))
_FIRST: Final = tuple(
    Address(host='10.0.2.1', port=port) for port in range(1, 8)
)
_NEW: Final = tuple(
    Address(host='10.0.2.1', port=port) for port in range(8, 12)
)


class _Step(msgspec.Struct, frozen=True, kw_only=True):
    """Targets in the view after a change, and all that still run."""

    name: str
    view: tuple[Address, ...]
    running: tuple[Address, ...]


_STEPS: Final = (
    _Step(name='no change', view=_FIRST, running=_FIRST),
    _Step(
        name='one joins',
        view=_FIRST + _NEW[:1],
        running=_FIRST + _NEW[:1],
    ),
    _Step(
        name='one drains',
        view=_FIRST[1:] + _NEW[:1],
        running=_FIRST + _NEW[:1],
    ),
    _Step(
        name='two are replaced',
        view=_FIRST[3:] + _NEW[:3],
        running=_FIRST + _NEW[:3],
    ),
    _Step(
        name='one joins, one drains',
        view=_FIRST[4:] + _NEW,
        running=_FIRST + _NEW,
    ),
    _Step(
        name='one is killed',
        view=_FIRST[4:6] + _NEW,
        running=_FIRST[:6] + _NEW,
    ),
)


def run() -> None:
    """Prints both tables."""
    _print_broken()
    _print_cost()


class _Connection:
    """A client's connection and the agent that holds it."""

    def __init__(self, *, client: Address, agent: Address) -> None:
        self.client = client
        self.agent = agent
        self.connection_id = _CODEC.encode(
            ConnectionId(
                service=1, agent=agent, incarnation=1, counter=client.port
            )
        )


#: Name of a step and the step.
_Action = tuple[str, Callable[[], object]]

#: Finds the agent for a packet of a connection in a balancer's view.
_Route = Callable[[_Connection, Sequence[Address]], Address | None]


def _print_broken() -> None:
    columns = [
        _count_broken(route, lagging=lagging)
        for route in (_by_connection_id, _by_client)
        for lagging in (False, True)
    ]
    rows = [
        (step.name, *(str(counts[number]) for counts in columns))
        for number, step in enumerate(_STEPS)
    ]
    print_table(
        f'Broken connections of {_CONNECTIONS} after each change',
        (
            'change',
            'connection IDs',
            'IDs, views differ',
            'hash of client',
            'hash, views differ',
        ),
        rows,
    )


def _count_broken(route: _Route, *, lagging: bool) -> list[int]:
    """Returns the broken connections after each step.

    A packet that reaches another agent, or none, breaks its connection. The
    network sends each packet to a random balancer. With lagging views every
    second balancer still has the view of the step before.
    """
    random = Random(_SEED)
    connections = [_connect(number) for number in range(_CONNECTIONS)]
    broken: set[int] = set()
    counts = []
    former: Sequence[Address] = _FIRST
    for step in _STEPS:
        views = [
            former if lagging and number % 2 else step.view
            for number in range(_BALANCERS)
        ]
        for number, connection in enumerate(connections):
            for _ in range(_PACKETS_PER_STEP):
                agent = route(connection, random.choice(views))
                if agent != connection.agent or agent not in step.running:
                    broken.add(number)
        counts.append(len(broken))
        former = step.view
    return counts


def _connect(number: int) -> _Connection:
    client = Address(host='198.51.100.1', port=number + 1)
    agent = highest(_hash(client), ((entry, 1) for entry in _FIRST), 1)[0]
    return _Connection(client=client, agent=agent)


def _by_connection_id(
    connection: _Connection, view: Sequence[Address]
) -> Address | None:
    content = _CODEC.decode(connection.connection_id)
    return None if content is None else content.agent


def _by_client(
    connection: _Connection, view: Sequence[Address]
) -> Address | None:
    nodes = ((entry, 1) for entry in view)
    return highest(_hash(connection.client), nodes, 1)[0]


def _hash(client: Address) -> int:
    return hash_key(client.pack())


def _print_cost() -> None:
    packet = b''.join(
        (
            b'\x40',
            _connect(1).connection_id,
            Random(_SEED).randbytes(_PAYLOAD_SIZE),
        )
    )
    wire = _TAGS.encode(_encapsulated(packet))
    copy = _best_time(lambda: bytearray(packet))
    actions: tuple[_Action, ...] = (
        ('plain copy', lambda: bytearray(packet)),
        ('header and connection ID', lambda: _decrypt(packet)),
        ('connection ID with fields', lambda: _decode(packet)),
        ('encapsulate', lambda: _encapsulate(packet)),
        ('check and unpack', lambda: _TAGS.decode(wire)),
    )
    rows = [
        (name, f'{_best_time(action) / copy:.1f}') for name, action in actions
    ]
    print_table(
        f'Time per packet of {len(packet)} bytes, relative to a plain copy',
        ('step', 'times'),
        rows,
    )


def _best_time(action: Callable[[], object]) -> float:
    times = []
    for _ in range(_ROUNDS):
        start = time.perf_counter()
        for _ in range(_PACKETS):
            action()
        times.append(time.perf_counter() - start)
    return min(times)


def _decrypt(packet: bytes) -> bytes | None:
    return _CODEC.decrypt(destination_id(packet) or b'')


def _decode(packet: bytes) -> ConnectionId | None:
    return _CODEC.decode(destination_id(packet) or b'')


_PACKED: Final = Address(host='192.0.2.1', port=1).pack()


def _encapsulate(packet: bytes) -> bytes:
    return _TAGS.encode_raw(
        kind=DatagramKind.FORWARD,
        service=1,
        service_address=_PACKED,
        client=_PACKED,
        balancer=_PACKED,
        payload=packet,
    )


def _encapsulated(packet: bytes) -> Encapsulated:
    address = Address.unpack(_PACKED)
    return Encapsulated(
        kind=DatagramKind.FORWARD,
        service=1,
        service_address=address,
        client=address,
        balancer=address,
        payload=packet,
    )


if __name__ == '__main__':
    run()
