"""A place that another agent has reserved for a request."""

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

#: 1 day, in effect no timeout.
_MAX_WAIT_MS: Final = 86_400_000
_LOST_DETAIL: Final = 'the agent that took the request is lost'


class PeerPlace:
    """Runs one request at another agent.

    Args:
        clock: Clock of the deadline.
        agent: Address of the other agent.
        channel: Channel on which the other agent has reserved.
        chunk_bytes: Maximum number of body bytes in one message.
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
        """Hands the request over and forwards the answer.

        Returns:
            The other agent's outcome. It is *unknown* if that agent is lost
            after ``Run`` was sent.
        """
        if request.deadline_ms <= self._clock.now_ms():
            self.give_up()
            return refusals.deadline_passed()
        try:
            return self.run_without_deadline_check(request, answer)
        except ChannelLostError:
            return Outcome.not_run(Reason.PEER_UNREACHABLE, _LOST_DETAIL)

    def run_without_deadline_check(
        self, request: Request, answer: SingleAnswer
    ) -> Outcome:
        """Hands the request over without checking its deadline.

        The owner of an execution key also decides about requests whose
        deadline has passed.

        Raises:
            ChannelLostError: If the agent is lost before ``Run`` is sent.
        """
        left_ms = request.deadline_ms - self._clock.now_ms()
        self._channel.put(_run_message(request, max(left_ms, 0)))
        body_task = gevent.spawn(self._send_body, request.body)
        try:
            return self._receive(request, answer)
        except ChannelLostError:
            return Outcome.unknown(Reason.PEER_UNREACHABLE, _LOST_DETAIL)
        except ClientGoneError:
            return _cancelled()
        finally:
            body_task.kill(block=False)
            # This has no effect after the end of the answer.
            self._channel.cancel()

    def _send_body(self, body: Body) -> None:
        if body.length == 0:
            return
        try:
            while part := body.read(self._chunk_bytes):
                self._channel.put(Chunk(part))
            self._channel.put(End())
        except ChannelLostError:
            # The greenlet that receives the answer gets the same error.
            return
        except ClientGoneError:
            self._channel.cancel()

    def _receive(self, request: Request, answer: SingleAnswer) -> Outcome:
        limit_ms = request.deadline_ms
        while True:
            left_ms = limit_ms - self._clock.now_ms()
            message = self._channel.get(left_ms, request.cancelled)
            if message is None or request.cancelled.is_set():
                return _not_answered(request)
            outcome = _forward(message, answer)
            if outcome is not None:
                self._channel.close()
                return outcome
            if request.stream:
                # The deadline of a stream limits the time to its head.
                limit_ms = self._clock.now_ms() + _MAX_WAIT_MS


def _forward(message: AnyMessage, answer: SingleAnswer) -> Outcome | None:
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


def _not_answered(request: Request) -> Outcome:
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
