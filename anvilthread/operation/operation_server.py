"""Server for operations on a node."""

from typing import Final

import msgspec
from result import Err, Result

from anvilthread.decoding import DECODE_ERRORS
from anvilthread.operation.answers import (
    Answer,
    RefusalAnswer,
    StatusAnswer,
    TargetsAnswer,
)
from anvilthread.operation.envelope import Envelope, pack, unpack
from anvilthread.operation.errors import OperationRefusedError
from anvilthread.operation.node_operations import NodeOperations
from anvilthread.operation.node_status import NodeStatus
from anvilthread.operation.requests import (
    DrainRequest,
    Request,
    StatusRequest,
    TargetsRequest,
    UndrainRequest,
)
from anvilthread.telemetry.log import Log
from anvilthread.transport import Received, Transport

#: Keeps an answer below 8 KiB at about 100 bytes per target.
PAGE_TARGETS: Final = 64

_decoder: Final = msgspec.msgpack.Decoder(Request)


class OperationServer:
    """Answers requests of operators.

    Args:
        transport: Carries the requests and the answers.
        operations: Operations of the node.
        log: Logs changes and refusals.
    """

    __slots__ = ('_log', '_operations', '_transport')

    def __init__(
        self, *, transport: Transport, operations: NodeOperations, log: Log
    ) -> None:
        self._transport = transport
        self._operations = operations
        self._log = log

    def serve(self) -> None:
        """Answers requests until the task is killed."""
        while True:
            self.handle(self._transport.receive())

    def handle(self, received: Received) -> bool:
        """Answers one message; for transports that carry other messages too.

        Args:
            received: A message from the transport.

        Returns:
            Whether it was an operation message.
        """
        envelope = unpack(received.payload)
        if envelope is None:
            return False
        answer = self._answer(envelope)
        self._transport.send(received.sender, pack(envelope.request_id, answer))
        return True

    def _answer(self, envelope: Envelope) -> Answer:
        try:
            request = _decoder.decode(envelope.body)
        except DECODE_ERRORS as error:
            self._log.event('operation_not_understood', reason=error)
            return RefusalAnswer(
                reason='the node does not know this operation',
                remedy='use the version of anvilthread that the node runs',
            )
        return self._run(request)

    def _run(self, request: Request) -> Answer:
        match request:
            case StatusRequest():
                return StatusAnswer(status=self._operations.status())
            case TargetsRequest(after=after):
                return self._targets_page(after)
            case DrainRequest(operator=operator):
                outcome = self._operations.drain(operator)
                return self._answer_change('drain', operator, outcome)
            case UndrainRequest(operator=operator):
                outcome = self._operations.undrain(operator)
                return self._answer_change('undrain', operator, outcome)

    def _targets_page(self, after: str) -> TargetsAnswer:
        remaining = sorted(
            (
                target
                for target in self._operations.targets()
                if target.control > after
            ),
            key=lambda target: target.control,
        )
        return TargetsAnswer(
            targets=tuple(remaining[:PAGE_TARGETS]),
            has_more=len(remaining) > PAGE_TARGETS,
        )

    def _answer_change(
        self,
        operation: str,
        operator: str,
        outcome: Result[NodeStatus, OperationRefusedError],
    ) -> Answer:
        if isinstance(outcome, Err):
            refusal = outcome.err_value
            self._log.event(
                'operation_refused',
                operation=operation,
                operator=operator,
                reason=refusal.reason,
            )
            return RefusalAnswer(reason=refusal.reason, remedy=refusal.remedy)
        self._log.event(
            'operation_accepted', operation=operation, operator=operator
        )
        return StatusAnswer(status=outcome.ok_value)
