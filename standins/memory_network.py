"""An in-memory network of message transports with faults."""

from random import Random

import gevent
from gevent.queue import Queue

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.transport import Received


class MemoryNetwork:
    """Delivers messages between its transports on a given clock.

    Args:
        clock: Clock of the delays.
        random: Source of losses and delays.
        delay_ms: Mean one-way delay; each message gets 0.5 to 1.5 times it.
        loss: Probability that a message is lost, 0 to 1.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        random: Random,
        delay_ms: float = 0.5,
        loss: float = 0,
    ) -> None:
        self._clock = clock
        self._random = random
        self._delay_ms = delay_ms
        self._transports: dict[Address, MemoryTransport] = {}
        self._cuts: set[tuple[Address, Address]] = set()
        self.loss = loss
        self.messages = 0
        self.bytes_sent = 0

    def transport(self, address: Address) -> 'MemoryTransport':
        """Attaches a node in place of an earlier one at its address."""
        transport = MemoryTransport(network=self, address=address)
        self._transports[address] = transport
        return transport

    def detach(self, address: Address) -> None:
        """Detaches a node, as if its VM were killed."""
        self._transports.pop(address, None)

    def cut(self, sender: Address, receiver: Address) -> None:
        """Drops all messages in one direction until :meth:`heal`."""
        self._cuts.add((sender, receiver))

    def heal(self) -> None:
        """Ends every cut."""
        self._cuts.clear()

    def deliver(self, sender: Address, receiver: Address, body: bytes) -> None:
        """Sends one message, subject to cuts, loss and delay."""
        self.messages += 1
        self.bytes_sent += len(body)
        if (sender, receiver) in self._cuts:
            return
        if self._random.random() < self.loss:
            return
        delay_ms = self._delay_ms * self._random.uniform(0.5, 1.5)
        gevent.spawn(self._deliver_later, sender, receiver, body, delay_ms)

    def _deliver_later(
        self,
        sender: Address,
        receiver: Address,
        body: bytes,
        delay_ms: float,
    ) -> None:
        self._clock.sleep_ms(delay_ms)
        transport = self._transports.get(receiver)
        if transport is not None:
            transport.accept(Received(sender=sender, payload=body))


class MemoryTransport:
    """One node's end of a memory network."""

    def __init__(self, *, network: MemoryNetwork, address: Address) -> None:
        self._network = network
        self._address = address
        self._inbox: Queue[Received] = Queue()

    @property
    def address(self) -> Address:
        """Address at which this node receives."""
        return self._address

    def accept(self, message: Received) -> None:
        """Queues a message that has arrived."""
        self._inbox.put(message)

    def send(self, address: Address, payload: bytes) -> None:
        """Sends a message through the network."""
        self._network.deliver(self._address, address, payload)

    def receive(self) -> Received:
        """Blocks until a message arrives."""
        return self._inbox.get()

    def close(self) -> None:
        """Detaches this node from the network."""
        self._network.detach(self._address)
