"""A transport that duplicates messages and can be frozen."""

from random import Random

import gevent

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.transport import Received, Transport
from standins.freezable_clock import FreezableClock


class FaultyTransport:
    """Adds copies, near and very late ones, to another transport.

    Args:
        inner: Transport that delivers.
        clock: Clock of the late copies.
        process: Clock of the process that receives.
        random: Source of the faults.
        copies: Probability that a message is sent twice; half of the copies
            arrive up to ``late_ms`` later.
        late_ms: Longest delay of a copy.
    """

    def __init__(
        self,
        *,
        inner: Transport,
        clock: Clock,
        process: FreezableClock,
        random: Random,
        copies: float = 0,
        late_ms: int = 5000,
    ) -> None:
        self._inner = inner
        self._clock = clock
        self._process = process
        self._random = random
        self._copies = copies
        self._late_ms = late_ms
        self._closed = False

    @property
    def address(self) -> Address:
        """Address at which this node receives."""
        return self._inner.address

    def send(self, address: Address, payload: bytes) -> None:
        """Sends once or twice."""
        if self._closed:
            return
        self._inner.send(address, payload)
        if self._random.random() < self._copies:
            late = self._random.random() < 0.5
            delay_ms = self._random.uniform(0, self._late_ms if late else 5)
            gevent.spawn(self._send_later, address, payload, delay_ms)

    def receive(self) -> Received:
        """Blocks until a message arrives and the process is not frozen."""
        received = self._inner.receive()
        self._process.thaw()
        return received

    def close(self) -> None:
        """Detaches from the network in both directions."""
        self._closed = True
        self._inner.close()

    def _send_later(
        self, address: Address, payload: bytes, delay_ms: float
    ) -> None:
        self._clock.sleep_ms(delay_ms)
        self._inner.send(address, payload)
