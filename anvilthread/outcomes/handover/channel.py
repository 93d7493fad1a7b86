"""Blocking use of one handover."""

from typing import Final

from gevent.event import Event

from anvilthread.clock import Clock
from anvilthread.error import AnvilthreadError
from anvilthread.outcomes.event_link import EventLink
from anvilthread.outcomes.handover.link import Link
from anvilthread.outcomes.handover.messages import AnyMessage, Cancel
from anvilthread.outcomes.handover.packet import Packet

#: A timer that is later than this has been held up by a freeze.
_FROZEN_MS: Final = 500


class ChannelLostError(AnvilthreadError):
    """The other agent has gone or does not know the handover."""

    def __init__(self) -> None:
        super().__init__(
            reason='the other agent does not answer',
            remedy='check the agent and the network between the two',
        )


class Channel:
    """One agent's end of one handover.

    Messages arrive in order and once, or the channel is lost. One task may
    put and one task may get at a time.

    Args:
        clock: Clock of the timeouts.
        link: Exchange with the other agent.
    """

    __slots__ = (
        '_cancelled',
        '_changed',
        '_clock',
        '_closed',
        '_link',
        '_lost',
        '_room',
        '_timer',
    )

    def __init__(self, *, clock: Clock, link: Link) -> None:
        self._clock = clock
        self._link = link
        self._changed = Event()
        self._room = Event()
        self._timer = Event()
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
        """Sends a message; blocks while the other agent has no room.

        Raises:
            ChannelLostError: If the other agent is lost.
        """
        while not (self._link.outgoing.open or self._lost or self._closed):
            self._room.clear()
            self._room.wait()
        if self._lost or self._closed:
            raise ChannelLostError
        self._link.send(message)
        self._timer.set()

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
        with EventLink(sources=sources, target=self._changed):
            message = self._link.take()
            while message is None and self._may_wait(end_ms, sources):
                self._changed.clear()
                left_ms = end_ms - self._clock.now_ms()
                self._clock.wait(self._changed, left_ms)
                message = self._link.take()
        if message is None and self._lost:
            raise ChannelLostError
        return message

    def cancel(self) -> None:
        """Tells the other agent to stop, and closes."""
        if not (self._closed or self._lost):
            self._link.send(Cancel())
        self.close()

    def close(self) -> None:
        """Ends the use of the channel; what was sent is still delivered."""
        self._closed = True
        self._room.set()
        self._timer.set()

    def accept(self, packet: Packet) -> None:
        """Handles a packet of the other agent."""
        if packet.gone:
            self._lose()
            return
        if isinstance(packet.message, Cancel):
            self._cancelled.set()
        self._link.accept(packet)
        self._wake()

    def maintain(self) -> None:
        """Repeats lost messages until the channel is lost or done."""
        while not (self._lost or self._done()):
            self._timer.clear()
            pause_ms = self._link.pause_ms
            due_ms = self._clock.now_ms() + pause_ms
            self._clock.wait(self._timer, pause_ms)
            if self._clock.now_ms() - due_ms > _FROZEN_MS:
                # What the other agent sent during the freeze of this
                # process has yet to be read.
                self._link.excuse()
            if self._link.silent:
                self._lose()
            else:
                self._link.maintain()

    def _may_wait(self, end_ms: float, sources: list[Event]) -> bool:
        if self._lost or any(source.is_set() for source in sources):
            return False
        return self._clock.now_ms() < end_ms

    def _done(self) -> bool:
        return self._closed and self._link.settled

    def _lose(self) -> None:
        self._lost = True
        self._cancelled.set()
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._room.set()
        self._timer.set()
