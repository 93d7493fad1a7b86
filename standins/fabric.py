"""A network fabric that sprays packets over balancers."""

import json
from collections.abc import Callable
from random import Random
from typing import Annotated

import gevent
import typer
from gevent import socket

from anvilthread.address import Address
from anvilthread.transport.udp_socket import bind_udp, receive_all


class Fabric:
    """Forwards each packet to a random balancer and returns the answers.

    Every client has one source address towards all balancers, so that the
    fabric is transparent to them.

    Args:
        random: Source of choices and faults.
        service_addresses: Addresses that clients send to.
        balancers: IP addresses of the balancers; ports are kept.
    """

    def __init__(
        self,
        *,
        random: Random,
        service_addresses: list[Address],
        balancers: list[str],
    ) -> None:
        self._random = random
        self._sockets = {
            address: bind_udp(address) for address in service_addresses
        }
        self._clients: dict[tuple[Address, tuple[str, int]], socket.socket] = {}
        self.balancers = balancers
        self.loss = 0.0
        self.delay_ms = 0.0
        self.reorder = 0.0
        self.packets = 0

    def start(self) -> None:
        """Starts receiving from clients."""
        for address in self._sockets:
            gevent.spawn(self._serve_address, address)

    def control(self, changes: dict[str, object]) -> None:
        """Applies changes of balancers and faults.

        Args:
            changes: New values of ``balancers``, ``loss``, ``delay_ms`` and
                ``reorder``.
        """
        for name in ('balancers', 'loss', 'delay_ms', 'reorder'):
            if name in changes:
                setattr(self, name, changes[name])

    def close(self) -> None:
        """Closes every socket."""
        for opened in (*self._sockets.values(), *self._clients.values()):
            opened.close()

    def _serve_address(self, address: Address) -> None:
        def receive(payload: bytes, client: tuple[str, int]) -> None:
            self._forward(address, payload, client)

        _receive_until_closed(self._sockets[address], receive)

    def _forward(
        self, address: Address, payload: bytes, client: tuple[str, int]
    ) -> None:
        outbound = self._clients.get((address, client))
        if outbound is None:
            outbound = self._open_client(address, client)
        if not self.balancers:
            return
        balancer = self._random.choice(self.balancers)
        self._send_with_faults(outbound, payload, (balancer, address.port))

    def _open_client(
        self, address: Address, client: tuple[str, int]
    ) -> socket.socket:
        outbound = bind_udp(Address(host='127.0.0.1', port=0))
        self._clients[address, client] = outbound
        inbound = self._sockets[address]

        def receive(payload: bytes, _: tuple[str, int]) -> None:
            self._send_with_faults(inbound, payload, client)

        gevent.spawn(_receive_until_closed, outbound, receive)
        return outbound

    def _send_with_faults(
        self, sender: socket.socket, payload: bytes, receiver: tuple[str, int]
    ) -> None:
        self.packets += 1
        if self._random.random() < self.loss:
            return
        delay_ms = self.delay_ms
        if self._random.random() < self.reorder:
            delay_ms += self._random.uniform(0, 5)
        if delay_ms:
            gevent.spawn_later(
                delay_ms / 1000, _send, sender, payload, receiver
            )
        else:
            _send(sender, payload, receiver)


def _receive_until_closed(
    source: socket.socket,
    handle: Callable[[bytes, tuple[str, int]], None],
) -> None:
    try:
        receive_all(source, handle)
    except OSError:
        return


def _send(
    sender: socket.socket, payload: bytes, receiver: tuple[str, int]
) -> None:
    try:
        sender.sendto(payload, receiver)
    except OSError:
        # A full socket buffer drops the packet, as a real network does.
        return


def main(
    listen: Annotated[list[str], typer.Option(help='Service addresses.')],
    balancer: Annotated[list[str], typer.Option(help='IPs of balancers.')],
    control: Annotated[str, typer.Option(help='UDP address for JSON.')],
    seed: Annotated[int, typer.Option(help='Seed of the choices.')] = 1,
) -> None:
    """Runs the fabric until it is killed."""
    fabric = Fabric(
        random=Random(seed),
        service_addresses=[Address.parse(text).unwrap() for text in listen],
        balancers=balancer,
    )
    fabric.start()

    def receive(payload: bytes, _: tuple[str, int]) -> None:
        fabric.control(json.loads(payload))

    receive_all(bind_udp(Address.parse(control).unwrap()), receive)


if __name__ == '__main__':
    typer.run(main)
