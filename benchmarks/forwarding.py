"""Forwarding of a balancer relative to a bare receive-and-send loop.

Both loops run over the same loopback sockets in alternating rounds.
"""

import socket as blocking
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from functools import partial
from hashlib import blake2b
from random import Random
from statistics import median
from time import process_time
from typing import Final

import gevent
from gevent import socket

from anvilthread.address import Address
from anvilthread.balancer.forwarder import Forwarder
from anvilthread.balancer.service_listener import ServiceListener
from anvilthread.routing.connection_id import ConnectionId
from anvilthread.routing.connection_id_codec import ConnectionIdCodec
from anvilthread.routing.datagram_kind import DatagramKind
from anvilthread.routing.encapsulated import Encapsulated
from anvilthread.routing.encapsulation_codec import EncapsulationCodec
from anvilthread.routing.packet_fate import PacketFate
from anvilthread.transport.udp_socket import bind_udp, receive_all

_HOST: Final = '127.0.13.1'
_SERVICE: Final = 1
_AGENT_PORT: Final = 17_902
_BATCH: Final = 128
# Packets of the bare loop before other tasks get a turn, as in the balancer.
_TURN: Final = 64
_ROUNDS: Final = 150
_SIZES: Final = (100, 1200)
_AGENTS: Final = (1, 1000, 42_000)
_ADDRESSES: Final = (1, 100, 1000)
_PACKETS: Final = 128 * 60
_SMALL: Final = 100
_MICROSECONDS: Final = 1_000_000
_TARGET: Final = 0.6

_CODEC: Final = ConnectionIdCodec(keys={0: b'k' * 16}, active=0)
_ENCAPSULATION: Final = EncapsulationCodec(keys=(b'd' * 32,))

Handle = Callable[[bytes, tuple[str, int]], None]


class NoPlacement:
    """Has no agent for first packets and resets nothing."""

    def place(self, service: int, flow_key: bytes) -> None:
        """Returns no choice."""

    def must_reset(self, agent: bytes) -> bool:
        """Returns False."""
        return False


class LostAgents:
    """Looks lost agents up, as the balancer's own table does.

    Args:
        agents: Packed data addresses.
    """

    def __init__(self, agents: set[bytes]) -> None:
        self._agents = agents

    def must_reset(self, agent: bytes) -> bool:
        """Tells whether the agent is lost."""
        return agent in self._agents


def run() -> None:
    """Prints the measurements."""
    for size in _SIZES:
        with _path() as path:
            _compare(path, size)
    _measure_agents()
    _measure_addresses()


class Path:
    """Sockets of a client, a balancer and an agent on loopback."""

    def __init__(self) -> None:
        placement = NoPlacement()
        self.forwarder = Forwarder(
            address=Address(host=_HOST, port=17_901),
            codec=_CODEC,
            encapsulation=_ENCAPSULATION,
            placer=placement,
            agents=placement,
        )
        self.listener = _listener(Address(host=_HOST, port=14_431))
        self.forwarder.add_listener(self.listener)
        self.agent = Address(host=_HOST, port=_AGENT_PORT)
        # Receives for every address that a packet names as its agent.
        any_host = Address(host='0.0.0.0', port=self.agent.port)
        self.agent_socket = _blocking_socket(any_host)
        self.client = Address(host=_HOST, port=17_903)
        self.client_socket = _blocking_socket(self.client)
        self.bare_socket = bind_udp(Address(host=_HOST, port=17_904))

    def close(self) -> None:
        """Closes the sockets."""
        self.forwarder.close()
        self.agent_socket.close()
        self.client_socket.close()
        self.bare_socket.close()


@contextmanager
def _path() -> Iterator[Path]:
    path = Path()
    try:
        yield path
    finally:
        path.close()
        # A socket that a task reads is closed in the next turn of the loop.
        gevent.sleep(0.01)


def _compare(path: Path, size: int) -> None:
    packet = _packet(path.agent, size)
    answer = _ENCAPSULATION.encode(
        Encapsulated(
            kind=DatagramKind.ANSWER,
            service=_SERVICE,
            service_address=path.listener.service_address,
            client=path.client,
            balancer=path.forwarder.address,
            payload=bytes(size),
        )
    )
    from_client = Direction(
        name='to agent',
        wire=packet,
        sender=path.client_socket,
        receiver=path.agent_socket,
        source=path.listener.socket,
        target=path.agent.endpoint,
        bare=path.bare_socket,
        handle=partial(path.forwarder.forward, path.listener),
    )
    to_client = Direction(
        name='to client',
        wire=answer,
        sender=path.agent_socket,
        receiver=path.client_socket,
        source=path.forwarder._socket,
        target=path.client.endpoint,
        bare=path.bare_socket,
        handle=path.forwarder._receive_answer,
    )
    for direction in (from_client, to_client):
        direction.report(size)
    counters = path.forwarder.counters
    for fate in (PacketFate.FORWARDED, PacketFate.ANSWERED):
        assert counters.count(fate) == _BATCH * _ROUNDS, counters.by_fate()


class Direction:
    """One direction through the balancer, by either loop."""

    def __init__(
        self,
        *,
        name: str,
        wire: bytes,
        sender: blocking.socket,
        receiver: blocking.socket,
        source: socket.socket,
        target: tuple[str, int],
        bare: socket.socket,
        handle: Handle,
    ) -> None:
        self._name = name
        self._wire = wire
        self._sender = sender
        self._receiver = receiver
        self._source = source
        self._target = target
        self._bare = bare
        self._handle = handle

    def report(self, size: int) -> None:
        """Prints the ratio of the two loops."""
        bare: list[float] = []
        tagging: list[float] = []
        forwarding: list[float] = []
        for _ in range(_ROUNDS):
            bare.append(self._time(self._run_bare))
            tagging.append(self._time(self._run_tagging))
            forwarding.append(self._time(self._run_balancer))
        print(
            f'{self._name}, {size} bytes: bare {median(bare):.1f} us, '
            f'balancer {median(forwarding):.1f} us, '
            f'ratio {_ratio(bare, forwarding):.2f} (target {_TARGET}); '
            f'with the tag alone {_ratio(bare, tagging):.2f}'
        )

    def _run_bare(self) -> None:
        source, bare, target = self._source, self._bare, self._target
        while True:
            for _ in range(_TURN):
                datagram, _ = source.recvfrom(65_535)
                bare.sendto(datagram, target)
            gevent.sleep(0)

    def _run_tagging(self) -> None:
        """The bare loop with one keyed hash of each datagram."""
        source, bare, target = self._source, self._bare, self._target
        keyed = blake2b(key=b'd' * 32, digest_size=8)
        while True:
            for _ in range(_TURN):
                datagram, _ = source.recvfrom(65_535)
                state = keyed.copy()
                state.update(datagram)
                bare.sendto(state.digest() + datagram, target)
            gevent.sleep(0)

    def _run_balancer(self) -> None:
        receive_all(self._source, self._handle)

    def _time(self, run: Callable[[], None]) -> float:
        """Returns microseconds of processor time per packet."""
        destination = self._source.getsockname()
        for _ in range(_BATCH):
            self._sender.sendto(self._wire, destination)
        task = gevent.spawn(run)
        start = process_time()
        while _is_readable(self._source):
            gevent.sleep(0)
        duration = process_time() - start
        task.kill()
        for _ in range(_BATCH):
            self._receiver.recv(65_535)
        return duration / _BATCH * _MICROSECONDS


def _is_readable(source: socket.socket) -> bool:
    try:
        blocking.socket.recv(
            source._sock, 1, blocking.MSG_PEEK | blocking.MSG_DONTWAIT
        )
    except BlockingIOError:
        return False
    return True


def _measure_agents() -> None:
    """Processor time of a packet by the number of known agents."""
    with _path() as path:
        loads = {}
        for count in _AGENTS:
            agents = [
                Address(host=f'127.1.{one >> 8}.{one & 255}', port=_AGENT_PORT)
                for one in range(count)
            ]
            # As many other agents are lost, so that neither table is small.
            lost = {Address(host=agent.host, port=1).pack() for agent in agents}
            drawn = Random(count).choices(agents, k=_PACKETS)
            packets = [_packet(agent, _SMALL) for agent in drawn]
            for agent in agents:
                path.forwarder.forward(
                    path.listener, _packet(agent, _SMALL), path.client.endpoint
                )
                _drain(path.agent_socket)
            loads[f'{count} known agents'] = Load(
                packets, [path.listener] * _PACKETS, LostAgents(lost)
            )
        _report_costs(path, loads)


def _measure_addresses() -> None:
    """Processor time of a packet by the number of service addresses."""
    with _path() as path:
        packets = [_packet(path.agent, _SMALL)] * _PACKETS
        listeners = [path.listener]
        loads = {}
        for count in _ADDRESSES:
            for number in range(len(listeners), count):
                high, low = divmod(number, 250)
                address = Address(host=f'127.3.{high}.{low + 1}', port=14_431)
                listener = _listener(address)
                path.forwarder.add_listener(listener)
                listeners.append(listener)
            loads[f'{count} service addresses'] = Load(
                packets, Random(count).choices(listeners, k=_PACKETS)
            )
        _report_costs(path, loads)


class Load:
    """Packets to forward and the state under which they are forwarded.

    Args:
        packets: Datagrams of clients.
        listeners: Where each of them arrives.
        lost: Agents declared dead.
    """

    def __init__(
        self,
        packets: list[bytes],
        listeners: list[ServiceListener],
        lost: 'LostAgents | None' = None,
    ) -> None:
        self.packets = packets
        self.listeners = listeners
        self.lost = lost or LostAgents(set())


def _report_costs(path: Path, loads: dict[str, Load]) -> None:
    costs: dict[str, list[float]] = {name: [] for name in loads}
    for first in range(0, _PACKETS, _BATCH):
        for name, load in loads.items():
            path.forwarder._agents = load.lost
            costs[name].append(_cost(path, load, first))
    base = next(iter(costs.values()))
    for name, values in costs.items():
        print(
            f'{name}: {median(values):.1f} us a packet in forward(), '
            f'{_ratio(values, base):.2f} times the first'
        )


def _ratio(values: list[float], others: list[float]) -> float:
    """Returns the median of the ratios of each round."""
    return median(
        one / other for one, other in zip(values, others, strict=True)
    )


def _cost(path: Path, load: Load, first: int) -> float:
    """Returns microseconds per call of ``forward`` of one batch."""
    sender = path.client.endpoint
    forward = path.forwarder.forward
    end = min(first + _BATCH, _PACKETS)
    start = process_time()
    for index in range(first, end):
        forward(load.listeners[index], load.packets[index], sender)
    duration = process_time() - start
    _drain(path.agent_socket)
    return duration / (end - first) * _MICROSECONDS


def _drain(source: blocking.socket) -> None:
    source.setblocking(False)
    with suppress(BlockingIOError):
        for _ in range(_BATCH):
            source.recv(65_535)


def _packet(agent: Address, size: int) -> bytes:
    connection_id = _CODEC.encode(
        ConnectionId(service=_SERVICE, agent=agent, incarnation=1, counter=1)
    )
    return b''.join((b'\x40', connection_id)).ljust(size, b'p')


def _listener(address: Address) -> ServiceListener:
    return ServiceListener(
        service=_SERVICE, service_address=address, bind_address=address
    )


def _blocking_socket(address: Address) -> blocking.socket:
    bound = blocking.socket(blocking.AF_INET, blocking.SOCK_DGRAM)
    bound.setsockopt(blocking.SOL_SOCKET, blocking.SO_RCVBUF, 4 << 20)
    bound.bind(address.endpoint)
    bound.settimeout(1)
    return bound


if __name__ == '__main__':
    run()
