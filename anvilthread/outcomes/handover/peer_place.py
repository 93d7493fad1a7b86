"""A place that another agent holds for a request."""

from typing import Final

import gevent

from anvilthread.address import Address
from anvilthread.admission import refusals
from anvilthread.clock import Clock
from anvilthread.outcomes.body import Body
from anvilthread.outcomes.handover.channel import Channel, ChannelLostError
from anvilthread.outcomes.handover.messages import (
    AnyMessage,
    Chunk,
    End,
    Failed,
    Head,
    Run,
)
from anvilthread.outcomes.outcome import Outcome
from anvilthread.outcomes.reason import Reason
from anvilthread.outcomes.request import Request
from anvilthread.outcomes.responder import ClientGoneError
from anvilthread.outcomes.single_answer import SingleAnswer

_DAY_MS: Final = 86_400_000
_LOST: Final = 'the agent that took the request is lost'


class PeerPlace:
    """Runs one request at another agent.

    Args:
        clock: Clock of the deadline.
        agent: Address of the other agent.
        channel: Channel on which the other agent has reserved.
        chunk_bytes: Longest part of the body in one message.
    """

    __slots__ = ('_agent', '_channel', '_chunk_bytes', '_clock')

    def __init__(
        self,
        *,
        clock: Clock,
        agent: Address,
        channel: Channel,
        chunk_bytes: int,
    ) -> None:
        self._clock = clock
        self._agent = agent
        self._channel = channel
        self._chunk_bytes = chunk_bytes

    @property
    def agent(self) -> Address | None:
        """The other agent."""
        return self._agent

    def give_up(self) -> None:
        """Frees the place without a run."""
        self._channel.cancel()

    def run(self, request: Request, answer: SingleAnswer) -> Outcome:
        """Hands the request over and passes the answer on.

        Returns:
            The other agent's outcome. It is *unknown* if that agent is lost
            after ``Run`` was sent.
        """
        if request.deadline_ms <= self._clock.now_ms():
            self.give_up()
            return refusals.deadline_passed()
        try:
            return self.run_late(request, answer)
        except ChannelLostError:
            return Outcome.not_run(Reason.PEER_UNREACHABLE, _LOST)

    def run_late(self, request: Request, answer: SingleAnswer) -> Outcome:
        """Hands the request over without a look at the deadline.

        The owner of an execution key decides about expired requests too.

        Raises:
            ChannelLostError: If the agent is lost before ``Run`` is sent.
        """
        left_ms = request.deadline_ms - self._clock.now_ms()
        self._channel.put(_run_message(request, max(left_ms, 0)))
        pump = gevent.spawn(self._send_body, request.body)
        try:
            return self._receive(request, answer)
        except ChannelLostError:
            return Outcome.unknown(Reason.PEER_UNREACHABLE, _LOST)
        except ClientGoneError:
            return _cancelled()
        finally:
            pump.kill(block=False)
            # Without effect after the end of the answer.
            self._channel.cancel()

    def _send_body(self, body: Body) -> None:
        if body.length == 0:
            return
        try:
            while part := body.read(self._chunk_bytes):
                self._channel.put(Chunk(part))
            self._channel.put(End())
        except ChannelLostError:
            # The task that receives notices as well.
            return
        except ClientGoneError:
            self._channel.cancel()

    def _receive(self, request: Request, answer: SingleAnswer) -> Outcome:
        limit_ms = request.deadline_ms
        while True:
            left_ms = limit_ms - self._clock.now_ms()
            message = self._channel.get(left_ms, request.cancelled)
            if message is None or request.cancelled.is_set():
                return _late(request)
            outcome = _pass_on(message, answer)
            if outcome is not None:
                self._channel.close()
                return outcome
            if request.stream:
                # The deadline of a stream limits the time to its head.
                limit_ms = self._clock.now_ms() + _DAY_MS


def _pass_on(message: AnyMessage, answer: SingleAnswer) -> Outcome | None:
    if isinstance(message, Failed):
        return message.outcome
    if isinstance(message, End):
        answer.end()
        return Outcome.answered()
    if isinstance(message, Head):
        answer.head(message.status, message.headers)
    elif isinstance(message, Chunk):
        answer.chunk(message.data)
    return None


def _run_message(request: Request, left_ms: int) -> Run:
    return Run(
        method=request.method,
        path=request.path,
        headers=request.headers,
        service=request.service,
        left_ms=left_ms,
        idempotent=request.idempotent,
        stream=request.stream,
        execution_key=request.execution_key,
        body_length=request.body.length,
    )


def _late(request: Request) -> Outcome:
    if request.cancelled.is_set():
        return _cancelled()
    return Outcome.unknown(
        Reason.DEADLINE_PASSED,
        'the deadline passed while the request ran at another agent',
    )


def _cancelled() -> Outcome:
    return Outcome.unknown(
        Reason.CANCELLED,
        'the client cancelled the request while it ran at another agent',
    )
