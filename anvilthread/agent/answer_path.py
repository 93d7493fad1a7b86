"""Choice of the balancer that carries a connection's answers."""

from typing import Final

from anvilthread.address import Address
from anvilthread.agent.balancers import Balancers
from anvilthread.clock import Clock

#: After this long without a packet from the client, the balancer that sent
#: the latest one may be dead, and answers rotate over all live balancers.
SILENCE_MS: Final = 300


class AnswerPath:
    """Follows the latest packet of one connection.

    Args:
        clock: Source of time.
        balancers: The balancers believed to be alive.
        latest: Data address of the balancer that sent the first packet.
    """

    __slots__ = ('_balancers', '_clock', '_latest', '_received_ms', '_turn')

    def __init__(
        self,
        *,
        clock: Clock,
        balancers: Balancers,
        latest: Address,
    ) -> None:
        self._clock = clock
        self._balancers = balancers
        self._latest = latest
        self._received_ms = clock.now_ms()
        self._turn = 0

    def received(self, balancer: Address) -> None:
        """Notes the balancer of a packet that has just arrived."""
        self._latest = balancer
        self._received_ms = self._clock.now_ms()

    def choose(self) -> Address:
        """Returns the data address of the balancer for the next answer."""
        silent_ms = self._clock.now_ms() - self._received_ms
        fresh = silent_ms < SILENCE_MS
        if fresh and not self._balancers.is_gone(self._latest):
            return self._latest
        live = self._balancers.live_balancers()
        if not live:
            return self._latest
        self._turn += 1
        return live[self._turn % len(live)]
