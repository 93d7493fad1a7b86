"""Sends requests to one target over HTTP/1.1."""

import socket
from contextlib import ExitStack
from typing import Final

import gevent
from gevent import Greenlet
from gevent.event import Event

from anvilthread.address import Address
from anvilthread.admission import Slot
from anvilthread.clock import Clock
from anvilthread.outcomes import (
    Outcome,
    OutcomeKind,
    Reason,
    Request,
    SingleAnswer,
)
from anvilthread.outcomes.event_link import EventLink
from anvilthread.target.connection_pool import ConnectionPool
from anvilthread.target.exchange import (
    READ_BYTES,
    ConnectedSocket,
    Exchange,
    Stage,
    client_gone,
)

_MAX_IDLE_CONNECTIONS: Final = 8


class HttpEdge:
    """Runs requests on one target and never sends a request twice.

    A request is cancelled at the target by closing the sending direction. Its
    slot stays in use until the target closes the connection as well, which
    confirms that the request no longer runs.

    Args:
        clock: Clock of the deadlines.
        target: Address of the target.
    """

    __slots__ = ('_clock', '_connections')

    def __init__(self, *, clock: Clock, target: Address) -> None:
        self._clock = clock
        self._connections = ConnectionPool(
            clock=clock, target=target, limit=_MAX_IDLE_CONNECTIONS
        )

    def run(
        self, request: Request, answer: SingleAnswer, slot: Slot
    ) -> Outcome:
        """Sends a request and forwards the answer as it arrives.

        Args:
            request: The request to run. A deadline that passes while it runs
                makes the outcome *unknown*; that of a stream limits only the
                time to the head of the answer.
            answer: Receiver of head, chunks and end.
            slot: Released when the exchange with the target has ended.

        Returns:
            The outcome; *not run* only if the target certainly has not started
            the request.
        """
        exchange = Exchange(
            connections=self._connections, request=request, answer=answer
        )
        left_ms = request.deadline_ms - self._clock.now_ms()
        task = gevent.spawn(exchange.run, left_ms)
        wake = Event()
        task.rawlink(lambda _: wake.set())
        with ExitStack() as stack:
            stack.callback(_release, exchange, task, request, slot)
            link = EventLink(sources=[request.cancelled], target=wake)
            stack.enter_context(link)
            self._wait(request, exchange, wake)
        return _outcome(exchange, task, request)

    def close(self) -> None:
        """Closes the idle connections."""
        self._connections.close()

    def _wait(self, request: Request, exchange: Exchange, wake: Event) -> None:
        left_ms = request.deadline_ms - self._clock.now_ms()
        ended = self._clock.wait(wake, max(left_ms, 0))
        if not ended and request.stream and exchange.stage is Stage.BEGUN:
            wake.wait()


def _release(
    exchange: Exchange, task: Greenlet, request: Request, slot: Slot
) -> None:
    task.kill()
    connected = exchange.socket
    if connected is None:
        slot.release()
    elif exchange.stage is Stage.ENDED or request.stream:
        # A stream may never end, so its connection is closed without a wait.
        _close(connected, exchange.stage)
        slot.release()
    else:
        gevent.spawn(_await_target_close, connected, slot)


def _close(connected: ConnectedSocket, stage: Stage) -> None:
    if stage is not Stage.ENDED:
        _shut_down(connected, socket.SHUT_RDWR)
    connected.close()


def _await_target_close(connected: ConnectedSocket, slot: Slot) -> None:
    _shut_down(connected, socket.SHUT_WR)
    while _receive_more(connected):
        gevent.sleep(0)
    connected.close()
    slot.release()


def _receive_more(connected: ConnectedSocket) -> bool:
    try:
        return bool(connected.recv(READ_BYTES))
    except OSError:
        return False


def _shut_down(connected: ConnectedSocket, direction: int) -> None:
    try:
        connected.shutdown(direction)
    except OSError:
        # The target has already closed the connection.
        return


def _outcome(exchange: Exchange, task: Greenlet, request: Request) -> Outcome:
    if task.successful() and isinstance(task.value, Outcome):
        return task.value
    if task.exception is not None:
        raise task.exception
    if request.cancelled.is_set():
        return _not_run_if_unsent(exchange, client_gone())
    deadline_passed = Outcome.unknown(
        Reason.DEADLINE_PASSED, 'the deadline passed while the request ran'
    )
    return _not_run_if_unsent(exchange, deadline_passed)


def _not_run_if_unsent(exchange: Exchange, outcome: Outcome) -> Outcome:
    if exchange.stage is not Stage.NOT_SENT:
        return outcome
    return Outcome(
        kind=OutcomeKind.NOT_RUN, reason=outcome.reason, detail=outcome.detail
    )
