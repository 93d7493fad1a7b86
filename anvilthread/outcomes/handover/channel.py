"""A channel for the messages of one handover."""

from typing import Final

from gevent.event import Event

from anvilthread.clock import Clock
from anvilthread.error import AnvilthreadError
from anvilthread.outcomes.event_link import EventLink
from anvilthread.outcomes.handover.link import Link
from anvilthread.outcomes.handover.messages import AnyMessage, Cancel
from anvilthread.outcomes.handover.packet import Packet

#: A timer that fires later than this shows that the process was frozen.
_FREEZE_THRESHOLD_MS: Final = 500


class ChannelLostError(AnvilthreadError):
    """The other agent does not answer or does not know the handover."""

    def __init__(self) -> None:
        super().__init__(
            reason='the other agent does not answer',
            remedy='check the agent and the network between the two',
        )


class Channel:
    """One agent's end of one handover, with blocking calls.

    Messages are delivered in order and exactly once, or the channel is lost.
    One greenlet may put and one greenlet may get at a time.

    Args:
        clock: Clock of the timeouts.
        link: Sends to and receives from the other agent.
    """

    __slots__ = (
        '_cancelled',
        '_clock',
        '_closed',
        '_link',
        '_lost',
        '_sendable',
        '_state_changed',
        '_timers_changed',
    )

    def __init__(self, *, clock: Clock, link: Link) -> None:
        self._clock = clock
        self._link = link
        self._state_changed = Event()
        self._sendable = Event()
        self._timers_changed = Event()
        self._cancelled = Event()
        self._lost = False
        self._closed = False

    @property
    def token(self) -> int:
        """Token of the handover; 0 while it is unknown."""
        return self._link.token

    @property
    def cancelled(self) -> Event:
        """Set when the other agent cancels or is lost."""
        return self._cancelled

    def put(self, message: AnyMessage) -> None:
        """Sends a message; blocks while the other agent grants no credit.

        Raises:
            ChannelLostError: If the other agent is lost.
        """
        while not (
            self._link.outgoing.has_credit or self._lost or self._closed
        ):
            self._sendable.clear()
            self._sendable.wait()
        if self._lost or self._closed:
            raise ChannelLostError
        self._link.send(message)
        self._timers_changed.set()

    def get(
        self, timeout_ms: float, interrupt: Event | None = None
    ) -> AnyMessage | None:
        """Returns the next message, or None after the timeout.

        Args:
            timeout_ms: Longest time to wait.
            interrupt: Ends the wait early when it is set.

        Raises:
            ChannelLostError: If the other agent is lost.
        """
        end_ms = self._clock.now_ms() + timeout_ms
        sources = [] if interrupt is None else [interrupt]
        with EventLink(sources=sources, target=self._state_changed):
            message = self._link.receive()
            while message is None and self._may_wait(end_ms, sources):
                self._state_changed.clear()
                left_ms = end_ms - self._clock.now_ms()
                self._clock.wait(self._state_changed, left_ms)
                message = self._link.receive()
        if message is None and self._lost:
            raise ChannelLostError
        return message

    def cancel(self) -> None:
        """Sends a cancellation to the other agent and closes the channel."""
        if not (self._closed or self._lost):
            self._link.send(Cancel())
        self.close()

    def close(self) -> None:
        """Closes the channel; messages that were sent are still delivered."""
        self._closed = True
        self._sendable.set()
        self._timers_changed.set()

    def accept(self, packet: Packet) -> None:
        """Handles a packet of the other agent."""
        if packet.gone:
            self._mark_lost()
            return
        if isinstance(packet.message, Cancel):
            self._cancelled.set()
        self._link.accept(packet)
        self._wake_all()

    def maintain(self) -> None:
        """Runs the timers of the link until the channel is lost or finished."""
        while not (self._lost or self._finished()):
            self._timers_changed.clear()
            timer_delay_ms = self._link.timer_delay_ms
            due_ms = self._clock.now_ms() + timer_delay_ms
            self._clock.wait(self._timers_changed, timer_delay_ms)
            if self._clock.now_ms() - due_ms > _FREEZE_THRESHOLD_MS:
                # Packets that arrived while this process was frozen have not
                # been read yet.
                self._link.reset_peer_timeout()
            if self._link.timed_out:
                self._mark_lost()
            else:
                self._link.maintain()

    def _may_wait(self, end_ms: float, sources: list[Event]) -> bool:
        if self._lost or any(source.is_set() for source in sources):
            return False
        return self._clock.now_ms() < end_ms

    def _finished(self) -> bool:
        return self._closed and self._link.all_acknowledged

    def _mark_lost(self) -> None:
        self._lost = True
        self._cancelled.set()
        self._wake_all()

    def _wake_all(self) -> None:
        self._state_changed.set()
        self._sendable.set()
        self._timers_changed.set()
