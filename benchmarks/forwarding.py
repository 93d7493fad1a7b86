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
# Packets after which the bare loop yields to other tasks, as the balancer does.
_PACKETS_PER_YIELD: Final = 64
_ROUNDS: Final = 150
_PACKET_SIZES: Final = (100, 1200)
_AGENT_COUNTS: Final = (1, 1000, 42_000)
_ADDRESS_COUNTS: Final = (1, 100, 1000)
_PACKETS: Final = 128 * 60
_SMALL_PACKET_SIZE: Final = 100
_US_PER_SECOND: Final = 1_000_000
_RATIO_GOAL: Final = 0.6

_CODEC: Final = ConnectionIdCodec(keys={0: b'k' * 16}, active=0)
_ENCAPSULATION: Final = EncapsulationCodec(keys=(b'd' * 32,))

DatagramHandler = Callable[[bytes, tuple[str, int]], None]


class NoPlacement:
    """Placer without agents for first packets; resets no connection."""

    def place(self, service: int, flow_key: bytes) -> None:
        """Returns no agent."""

    def must_reset(self, agent: bytes) -> bool:
        """Returns False."""
        return False


class LostAgents:
    """Set of lost agents, looked up as in the table of a balancer.

    Args:
        agents: Packed data addresses.
    """

    def __init__(self, agents: set[bytes]) -> None:
        self._agents = agents

    def must_reset(self, agent: bytes) -> bool:
        """Returns whether the agent is lost."""
        return agent in self._agents


def run() -> None:
    """Prints the measurements."""
    for size in _PACKET_SIZES:
        with _open_path() as path:
            _compare(path, size)
    _measure_agents()
    _measure_addresses()


class LoopbackPath:
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
        # Receives packets for the address of every agent.
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
def _open_path() -> Iterator[LoopbackPath]:
    path = LoopbackPath()
    try:
        yield path
    finally:
        path.close()
        # gevent closes a socket that a task reads only in the next iteration
        # of the event loop.
        gevent.sleep(0.01)


def _compare(path: LoopbackPath, size: int) -> None:
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
    """One direction through the balancer, timed with each of the loops."""

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
        handle: DatagramHandler,
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
        """Prints the speeds of the loops and their ratios."""
        bare: list[float] = []
        tagging: list[float] = []
        forwarding: list[float] = []
        for _ in range(_ROUNDS):
            bare.append(self._time_batch(self._run_bare))
            tagging.append(self._time_batch(self._run_tagging))
            forwarding.append(self._time_batch(self._run_balancer))
        print(
            f'{self._name}, {size} bytes: bare {median(bare):.1f} us, '
            f'balancer {median(forwarding):.1f} us, '
            f'ratio {_ratio(bare, forwarding):.2f} (target {_RATIO_GOAL}); '
            f'with the tag alone {_ratio(bare, tagging):.2f}'
        )

    def _run_bare(self) -> None:
        source, bare, target = self._source, self._bare, self._target
        while True:
            for _ in range(_PACKETS_PER_YIELD):
                datagram, _ = source.recvfrom(65_535)
                bare.sendto(datagram, target)
            gevent.sleep(0)

    def _run_tagging(self) -> None:
        """Runs the bare loop with one keyed hash per datagram."""
        source, bare, target = self._source, self._bare, self._target
        keyed = blake2b(key=b'd' * 32, digest_size=8)
        while True:
            for _ in range(_PACKETS_PER_YIELD):
                datagram, _ = source.recvfrom(65_535)
                state = keyed.copy()
                state.update(datagram)
                bare.sendto(state.digest() + datagram, target)
            gevent.sleep(0)

    def _run_balancer(self) -> None:
        receive_all(self._source, self._handle)

    def _time_batch(self, run: Callable[[], None]) -> float:
        """Returns the microseconds of processor time per packet."""
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
        return duration / _BATCH * _US_PER_SECOND


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
    with _open_path() as path:
        workloads = {}
        for count in _AGENT_COUNTS:
            agents = [
                Address(
                    host=f'127.1.{number >> 8}.{number & 255}', port=_AGENT_PORT
                )
                for number in range(count)
            ]
            # The same number of other agents is lost, so that the table of lost
            # agents is as large as that of known agents.
            lost = {Address(host=agent.host, port=1).pack() for agent in agents}
            drawn = Random(count).choices(agents, k=_PACKETS)
            packets = [_packet(agent, _SMALL_PACKET_SIZE) for agent in drawn]
            for agent in agents:
                path.forwarder.forward(
                    path.listener,
                    _packet(agent, _SMALL_PACKET_SIZE),
                    path.client.endpoint,
                )
                _discard_received(path.agent_socket)
            workloads[f'{count} known agents'] = Workload(
                packets, [path.listener] * _PACKETS, LostAgents(lost)
            )
        _report_costs(path, workloads)


def _measure_addresses() -> None:
    """Processor time of a packet by the number of service addresses."""
    with _open_path() as path:
        packets = [_packet(path.agent, _SMALL_PACKET_SIZE)] * _PACKETS
        listeners = [path.listener]
        workloads = {}
        for count in _ADDRESS_COUNTS:
            for number in range(len(listeners), count):
                high, low = divmod(number, 250)
                address = Address(host=f'127.3.{high}.{low + 1}', port=14_431)
                listener = _listener(address)
                path.forwarder.add_listener(listener)
                listeners.append(listener)
            workloads[f'{count} service addresses'] = Workload(
                packets, Random(count).choices(listeners, k=_PACKETS)
            )
        _report_costs(path, workloads)


class Workload:
    """Packets to forward, and the state of the balancer.

    Args:
        packets: Datagrams of clients.
        listeners: The listener that receives each datagram.
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


def _report_costs(path: LoopbackPath, workloads: dict[str, Workload]) -> None:
    costs: dict[str, list[float]] = {name: [] for name in workloads}
    for first in range(0, _PACKETS, _BATCH):
        for name, workload in workloads.items():
            path.forwarder._agents = workload.lost
            costs[name].append(_measure_batch_us(path, workload, first))
    base = next(iter(costs.values()))
    for name, values in costs.items():
        print(
            f'{name}: {median(values):.1f} us a packet in forward(), '
            f'{_ratio(values, base):.2f} times the first'
        )


def _ratio(values: list[float], others: list[float]) -> float:
    """Returns the median of the ratios of all rounds."""
    return median(
        value / other for value, other in zip(values, others, strict=True)
    )


def _measure_batch_us(
    path: LoopbackPath, workload: Workload, first: int
) -> float:
    """Returns the microseconds per call of ``forward`` in one batch."""
    sender = path.client.endpoint
    forward = path.forwarder.forward
    end = min(first + _BATCH, _PACKETS)
    start = process_time()
    for index in range(first, end):
        forward(workload.listeners[index], workload.packets[index], sender)
    duration = process_time() - start
    _discard_received(path.agent_socket)
    return duration / (end - first) * _US_PER_SECOND


def _discard_received(source: blocking.socket) -> None:
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
