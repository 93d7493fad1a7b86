"""The entry point for requests from the agent."""

from collections.abc import Sequence
from typing import Final

import msgspec
from result import Err

from anvilthread.outcomes.body_buffer import BodyBuffer
from anvilthread.outcomes.outcome import OUTCOME_HEADER, Outcome
from anvilthread.outcomes.outcome_kind import OutcomeKind
from anvilthread.outcomes.reason import Reason
from anvilthread.outcomes.request import Request
from anvilthread.outcomes.responder import ClientGoneError, Responder
from anvilthread.outcomes.runner import Runner
from anvilthread.outcomes.single_answer import SingleAnswer

#: Default limit of one request body that is buffered in memory.
MAX_BODY_BYTES: Final = 1 << 20

#: Default limit of all request bodies that are buffered at a time.
MAX_HELD_BYTES: Final = 64 << 20


class RequestHandler:
    """Reports exactly one outcome for every request.

    Unless the request is a stream, its body is read before the request is
    queued: a slow upload takes no slot, and the request can be handed over.

    Args:
        runner: Decides when, where and whether requests run.
        max_body_bytes: Maximum size of the body of a request that is not a
            stream.
        max_held_bytes: Memory for the bodies of all requests together.
    """

    __slots__ = ('_bodies', '_runner')

    def __init__(
        self,
        *,
        runner: Runner,
        max_body_bytes: int = MAX_BODY_BYTES,
        max_held_bytes: int = MAX_HELD_BYTES,
    ) -> None:
        self._runner = runner
        self._bodies = BodyBuffer(
            body_limit=max_body_bytes, total_limit=max_held_bytes
        )

    def handle(self, request: Request, responder: Responder) -> Outcome:
        """Runs a request and answers it; called in a separate greenlet.

        Args:
            request: The request to run.
            responder: Receiver of the answer.

        Returns:
            The outcome that was reported to the client.
        """
        with_outcome = _OutcomeHeaderResponder(responder=responder)
        answer = SingleAnswer(responder=with_outcome)
        try:
            outcome = self._run(request, answer)
        except Exception:
            # The client must get an outcome after an internal error too, and
            # the error does not show whether the target ran the request.
            self._report(answer, _internal_error())
            raise
        self._report(answer, outcome)
        return outcome

    def _run(self, request: Request, answer: SingleAnswer) -> Outcome:
        # A request with a key needs its whole body for the digest.
        if request.stream and request.execution_key is None:
            return self._runner.run(request, answer)
        buffered = self._bodies.buffer(request.body)
        if isinstance(buffered, Err):
            return buffered.err_value
        with buffered.ok_value as body:
            buffered_request = msgspec.structs.replace(request, body=body)
            return self._runner.run(buffered_request, answer)

    def _report(self, answer: SingleAnswer, outcome: Outcome) -> None:
        if outcome.kind is OutcomeKind.ANSWERED or answer.closed:
            return
        try:
            answer.fail(outcome)
        except ClientGoneError:
            return


class _OutcomeHeaderResponder:
    """Adds the outcome header to answers of the target."""

    __slots__ = ('_responder',)

    def __init__(self, *, responder: Responder) -> None:
        self._responder = responder

    def head(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Starts the answer and adds the outcome header."""
        # A target must not be able to contradict the agent.
        kept = [pair for pair in headers if pair[0].lower() != OUTCOME_HEADER]
        kept.append((OUTCOME_HEADER, str(OutcomeKind.ANSWERED)))
        self._responder.head(status, kept)

    def chunk(self, data: bytes) -> None:
        """Adds to the body."""
        self._responder.chunk(data)

    def end(self) -> None:
        """Completes the answer."""
        self._responder.end()

    def fail(self, outcome: Outcome) -> None:
        """Reports an outcome without an answer."""
        self._responder.fail(outcome)


def _internal_error() -> Outcome:
    return Outcome.unknown(
        Reason.ANSWER_LOST, 'the agent failed while it handled the request'
    )
