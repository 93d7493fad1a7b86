"""A transport that duplicates messages and follows a process freeze."""

from random import Random

import gevent

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.transport import Received, Transport
from standins.freezable_clock import FreezableClock


class FaultyTransport:
    """Duplicates messages of another transport, with short or long delays.

    Args:
        inner: Underlying transport.
        clock: Clock of the delays.
        process_clock: Clock of the receiving process.
        random: Source of the faults.
        duplicate_rate: Probability that a message is sent twice; half of the
            copies are delayed by up to ``max_delay_ms``, the others by up to
            5 ms.
        max_delay_ms: Longest delay of a copy.
    """

    def __init__(
        self,
        *,
        inner: Transport,
        clock: Clock,
        process_clock: FreezableClock,
        random: Random,
        duplicate_rate: float = 0,
        max_delay_ms: int = 5000,
    ) -> None:
        self._inner = inner
        self._clock = clock
        self._process_clock = process_clock
        self._random = random
        self._duplicate_rate = duplicate_rate
        self._max_delay_ms = max_delay_ms
        self._closed = False

    @property
    def address(self) -> Address:
        """Address at which this node receives."""
        return self._inner.address

    def send(self, address: Address, payload: bytes) -> None:
        """Sends a message once or twice."""
        if self._closed:
            return
        self._inner.send(address, payload)
        if self._random.random() < self._duplicate_rate:
            is_late = self._random.random() < 0.5
            delay_ms = self._random.uniform(
                0, self._max_delay_ms if is_late else 5
            )
            gevent.spawn(self._send_later, address, payload, delay_ms)

    def receive(self) -> Received:
        """Blocks until a message arrives and the process is not frozen."""
        received = self._inner.receive()
        self._process_clock.wait_until_thawed()
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
