"""Client for operations on nodes."""

from random import Random
from typing import Final, TypeVar

import gevent
import msgspec
from gevent.event import Event
from result import Err, Ok, Result

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.decoding import DECODE_ERRORS
from anvilthread.operation.answers import (
    Answer,
    RefusalAnswer,
    StatusAnswer,
    TargetsAnswer,
)
from anvilthread.operation.envelope import Envelope, pack, unpack
from anvilthread.operation.errors import (
    OperationAnswerError,
    OperationError,
    OperationRefusedError,
    OperationTimeoutError,
)
from anvilthread.operation.node_status import NodeStatus
from anvilthread.operation.requests import (
    DrainRequest,
    Request,
    StatusRequest,
    TargetsRequest,
    UndrainRequest,
)
from anvilthread.operation.target_status import TargetStatus
from anvilthread.transport import Transport

AnswerT = TypeVar('AnswerT', StatusAnswer, TargetsAnswer)

_ID_BITS: Final = 63
#: At 64 targets per page this covers 64,000 targets. It also ends the loop if a
#: node always reports another page.
_MAX_PAGES: Final = 1000

_decoder: Final = msgspec.msgpack.Decoder(Answer)


class OperationClient:
    """Sends requests to nodes and matches the answers by request id.

    Args:
        transport: Carries the messages; nothing else may receive from it.
        clock: Measures the timeouts.
        random: Generates the request ids.
        timeout_ms: Time to wait for an answer before the request is
            retransmitted.
        attempts: Maximum number of times that a request is sent.
    """

    __slots__ = (
        '_answers',
        '_attempts',
        '_clock',
        '_pending',
        '_random',
        '_receiver',
        '_timeout_ms',
        '_transport',
    )

    def __init__(
        self,
        *,
        transport: Transport,
        clock: Clock,
        random: Random,
        timeout_ms: int = 500,
        attempts: int = 4,
    ) -> None:
        self._transport = transport
        self._clock = clock
        self._random = random
        self._timeout_ms = timeout_ms
        self._attempts = attempts
        self._pending: dict[int, Event] = {}
        self._answers: dict[int, Envelope] = {}
        self._receiver = gevent.spawn(self._receive)

    def status(self, node: Address) -> Result[NodeStatus, OperationError]:
        """Asks a node for its status."""
        answer = self._request(node, StatusRequest(), StatusAnswer)
        return answer.map(_status)

    def drain(
        self, node: Address, *, operator: str
    ) -> Result[NodeStatus, OperationError]:
        """Asks a node to drain."""
        request = DrainRequest(operator=operator)
        return self._request(node, request, StatusAnswer).map(_status)

    def undrain(
        self, node: Address, *, operator: str
    ) -> Result[NodeStatus, OperationError]:
        """Asks a node to end its drain."""
        request = UndrainRequest(operator=operator)
        return self._request(node, request, StatusAnswer).map(_status)

    def targets(
        self, node: Address
    ) -> Result[list[TargetStatus], OperationError]:
        """Asks a node for every target that it knows."""
        targets: list[TargetStatus] = []
        after = ''
        for _ in range(_MAX_PAGES):
            outcome = self._request(
                node, TargetsRequest(after=after), TargetsAnswer
            )
            if isinstance(outcome, Err):
                return outcome
            page = outcome.ok_value
            targets.extend(page.targets)
            if not (page.has_more and page.targets):
                break
            after = page.targets[-1].control
        return Ok(targets)

    def close(self) -> None:
        """Stops receiving; the transport stays open."""
        self._receiver.kill(block=False)

    def _request(
        self, node: Address, request: Request, answer_type: type[AnswerT]
    ) -> Result[AnswerT, OperationError]:
        request_id = self._random.getrandbits(_ID_BITS)
        arrived = Event()
        self._pending[request_id] = arrived
        message = pack(request_id, request)
        for _ in range(self._attempts):
            self._transport.send(node, message)
            if self._clock.wait(arrived, self._timeout_ms):
                break
        self._pending.pop(request_id, None)
        envelope = self._answers.pop(request_id, None)
        if envelope is None:
            return Err(self._timeout(node))
        return _decode_answer(envelope, answer_type)

    def _receive(self) -> None:
        while True:
            envelope = unpack(self._transport.receive().payload)
            if envelope is None:
                continue
            arrived = self._pending.pop(envelope.request_id, None)
            if arrived is not None:
                self._answers[envelope.request_id] = envelope
                arrived.set()

    def _timeout(self, node: Address) -> OperationTimeoutError:
        waited_ms = self._timeout_ms * self._attempts
        return OperationTimeoutError(
            reason=f'no answer from {node} within {waited_ms} ms',
            remedy='check the request address, the key file and the node',
        )


def _decode_answer(
    envelope: Envelope, answer_type: type[AnswerT]
) -> Result[AnswerT, OperationError]:
    try:
        answer = _decoder.decode(envelope.body)
    except DECODE_ERRORS:
        return Err(_answer_error())
    if isinstance(answer, RefusalAnswer):
        return Err(
            OperationRefusedError(reason=answer.reason, remedy=answer.remedy)
        )
    if isinstance(answer, answer_type):
        return Ok(answer)
    return Err(_answer_error())


def _answer_error() -> OperationAnswerError:
    return OperationAnswerError(
        reason='the answer of the node cannot be understood',
        remedy='use the version of anvilthread that the node runs',
    )


def _status(answer: StatusAnswer) -> NodeStatus:
    return answer.status
