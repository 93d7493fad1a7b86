"""Broken connections and cost per packet of routable connection IDs.

The same changes of targets and of the balancers' views are applied to
routing by connection ID and to hashing by client address.
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
from anvilthread.routing.rendezvous import hash_key, top_nodes
from benchmarks.table import print_table

_SEED: Final = 1
_BALANCERS: Final = 4
_CONNECTIONS: Final = 2000
_PACKETS_PER_STEP: Final = 5
_PAYLOAD_SIZE: Final = 1200
_ROUNDS: Final = 7
_PACKETS: Final = 5000

_CODEC: Final = ConnectionIdCodec(keys={0: bytes(16)}, active=0)
_ENCAPSULATION: Final = EncapsulationCodec(keys=(bytes(range(32)),))
_INITIAL_AGENTS: Final = tuple(
    Address(host='10.0.2.1', port=port) for port in range(1, 8)
)
_ADDED_AGENTS: Final = tuple(
    Address(host='10.0.2.1', port=port) for port in range(8, 12)
)


class _Step(msgspec.Struct, frozen=True, kw_only=True):
    """Targets in the view after a change, and all targets still running."""

    name: str
    view: tuple[Address, ...]
    running: tuple[Address, ...]


_STEPS: Final = (
    _Step(name='no change', view=_INITIAL_AGENTS, running=_INITIAL_AGENTS),
    _Step(
        name='one joins',
        view=_INITIAL_AGENTS + _ADDED_AGENTS[:1],
        running=_INITIAL_AGENTS + _ADDED_AGENTS[:1],
    ),
    _Step(
        name='one drains',
        view=_INITIAL_AGENTS[1:] + _ADDED_AGENTS[:1],
        running=_INITIAL_AGENTS + _ADDED_AGENTS[:1],
    ),
    _Step(
        name='two are replaced',
        view=_INITIAL_AGENTS[3:] + _ADDED_AGENTS[:3],
        running=_INITIAL_AGENTS + _ADDED_AGENTS[:3],
    ),
    _Step(
        name='one joins, one drains',
        view=_INITIAL_AGENTS[4:] + _ADDED_AGENTS,
        running=_INITIAL_AGENTS + _ADDED_AGENTS,
    ),
    _Step(
        name='one is killed',
        view=_INITIAL_AGENTS[4:6] + _ADDED_AGENTS,
        running=_INITIAL_AGENTS[:6] + _ADDED_AGENTS,
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


#: Name and function of a timed operation.
_Operation = tuple[str, Callable[[], object]]

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
    second balancer still has the view of the previous step.
    """
    random = Random(_SEED)
    connections = [_open_connection(number) for number in range(_CONNECTIONS)]
    broken: set[int] = set()
    counts = []
    previous_view: Sequence[Address] = _INITIAL_AGENTS
    for step in _STEPS:
        views = [
            previous_view if lagging and number % 2 else step.view
            for number in range(_BALANCERS)
        ]
        for number, connection in enumerate(connections):
            for _ in range(_PACKETS_PER_STEP):
                agent = route(connection, random.choice(views))
                if agent != connection.agent or agent not in step.running:
                    broken.add(number)
        counts.append(len(broken))
        previous_view = step.view
    return counts


def _open_connection(number: int) -> _Connection:
    client = Address(host='198.51.100.1', port=number + 1)
    agent = top_nodes(
        _hash(client), ((entry, 1) for entry in _INITIAL_AGENTS), 1
    )[0]
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
    return top_nodes(_hash(connection.client), nodes, 1)[0]


def _hash(client: Address) -> int:
    return hash_key(client.pack())


def _print_cost() -> None:
    packet = b''.join(
        (
            b'\x40',
            _open_connection(1).connection_id,
            Random(_SEED).randbytes(_PAYLOAD_SIZE),
        )
    )
    wire = _ENCAPSULATION.encode(_make_encapsulated(packet))
    copy = _best_time(lambda: bytearray(packet))
    operations: tuple[_Operation, ...] = (
        ('plain copy', lambda: bytearray(packet)),
        ('header and connection ID', lambda: _decrypt(packet)),
        ('connection ID with fields', lambda: _decode(packet)),
        ('encapsulate', lambda: _encapsulate(packet)),
        ('check and unpack', lambda: _ENCAPSULATION.decode(wire)),
    )
    rows = [
        (name, f'{_best_time(operation) / copy:.1f}')
        for name, operation in operations
    ]
    print_table(
        f'Time per packet of {len(packet)} bytes, relative to a plain copy',
        ('step', 'times'),
        rows,
    )


def _best_time(operation: Callable[[], object]) -> float:
    times = []
    for _ in range(_ROUNDS):
        start = time.perf_counter()
        for _ in range(_PACKETS):
            operation()
        times.append(time.perf_counter() - start)
    return min(times)


def _decrypt(packet: bytes) -> bytes | None:
    return _CODEC.decrypt(destination_id(packet) or b'')


def _decode(packet: bytes) -> ConnectionId | None:
    return _CODEC.decode(destination_id(packet) or b'')


_PACKED_ADDRESS: Final = Address(host='192.0.2.1', port=1).pack()


def _encapsulate(packet: bytes) -> bytes:
    return _ENCAPSULATION.encode_raw(
        kind=DatagramKind.FORWARD,
        service=1,
        service_address=_PACKED_ADDRESS,
        client=_PACKED_ADDRESS,
        balancer=_PACKED_ADDRESS,
        payload=packet,
    )


def _make_encapsulated(packet: bytes) -> Encapsulated:
    address = Address.unpack(_PACKED_ADDRESS)
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
