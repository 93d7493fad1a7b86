"""Choice of the balancer that forwards a connection's answers."""

from typing import Final

from anvilthread.address import Address
from anvilthread.agent.balancers import Balancers
from anvilthread.clock import Clock

#: After this long without a packet from the client, the balancer that sent
#: the latest one may be dead, and answers rotate over all live balancers.
LATEST_BALANCER_TIMEOUT_MS: Final = 300


class AnswerPath:
    """Chooses the balancer for each answer of one connection.

    Answers go through the balancer that forwarded the client's latest packet.

    Args:
        clock: Clock of the time since the latest packet.
        balancers: The balancers believed to be alive.
        latest_balancer: Data address of the balancer that forwarded the first
            packet.
    """

    __slots__ = (
        '_balancers',
        '_clock',
        '_latest_balancer',
        '_received_ms',
        '_rotation',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        balancers: Balancers,
        latest_balancer: Address,
    ) -> None:
        self._clock = clock
        self._balancers = balancers
        self._latest_balancer = latest_balancer
        self._received_ms = clock.now_ms()
        self._rotation = 0

    def record_packet(self, balancer: Address) -> None:
        """Records the balancer of a packet that has just arrived."""
        self._latest_balancer = balancer
        self._received_ms = self._clock.now_ms()

    def choose(self) -> Address:
        """Returns the data address of the balancer for the next answer."""
        idle_ms = self._clock.now_ms() - self._received_ms
        is_recent = idle_ms < LATEST_BALANCER_TIMEOUT_MS
        if is_recent and not self._balancers.is_gone(self._latest_balancer):
            return self._latest_balancer
        live = self._balancers.live_balancers()
        if not live:
            return self._latest_balancer
        self._rotation += 1
        return live[self._rotation % len(live)]
