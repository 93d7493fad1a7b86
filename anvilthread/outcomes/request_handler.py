"""The entry point for requests from the agent."""

from collections.abc import Sequence
from typing import Final

import msgspec

from anvilthread.outcomes.body import Body
from anvilthread.outcomes.bytes_body import BytesBody
from anvilthread.outcomes.outcome import OUTCOME_HEADER, Outcome
from anvilthread.outcomes.outcome_kind import OutcomeKind
from anvilthread.outcomes.reason import Reason
from anvilthread.outcomes.request import Request
from anvilthread.outcomes.responder import ClientGoneError, Responder
from anvilthread.outcomes.runner import Runner
from anvilthread.outcomes.single_answer import SingleAnswer

#: Default bound of a request body that is held in memory.
MAX_BODY_BYTES: Final = 1 << 20

_READ_BYTES: Final = 65_536


class RequestHandler:
    """Gives exactly one outcome to every request.

    The body of a request that is no stream is read before the request is
    queued: a slow upload holds no slot, and the request can be handed over.

    Args:
        runner: Decides when, where and whether requests run.
        max_body_bytes: Longest body of a request that is no stream.
    """

    __slots__ = ('_max_body_bytes', '_runner')

    def __init__(
        self, *, runner: Runner, max_body_bytes: int = MAX_BODY_BYTES
    ) -> None:
        self._runner = runner
        self._max_body_bytes = max_body_bytes

    def handle(self, request: Request, responder: Responder) -> Outcome:
        """Runs a request and answers it; called in a task of its own.

        Args:
            request: What to run.
            responder: Receiver of the answer.

        Returns:
            The outcome that the client was told.
        """
        marked = _MarkedResponder(responder=responder)
        answer = SingleAnswer(responder=marked)
        try:
            outcome = self._run(request, answer)
        except Exception:
            # The client must learn an outcome from a fault of ours as well,
            # and a fault proves nothing about the target.
            self._report(answer, _internal_fault())
            raise
        self._report(answer, outcome)
        return outcome

    def _run(self, request: Request, answer: SingleAnswer) -> Outcome:
        # The digest of a request with a key needs the whole body.
        if request.stream and request.execution_key is None:
            return self._runner.run(request, answer)
        try:
            content = self._read(request.body)
        except ClientGoneError:
            return _client_gone()
        if content is None:
            return _too_large(self._max_body_bytes)
        body = BytesBody(content=content)
        whole = msgspec.structs.replace(request, body=body)
        return self._runner.run(whole, answer)

    def _read(self, body: Body) -> bytes | None:
        if (body.length or 0) > self._max_body_bytes:
            return None
        parts = bytearray()
        while len(parts) <= self._max_body_bytes:
            part = body.read(_READ_BYTES)
            if not part:
                return bytes(parts)
            parts.extend(part)
        return None

    def _report(self, answer: SingleAnswer, outcome: Outcome) -> None:
        if outcome.kind is OutcomeKind.ANSWERED or answer.closed:
            return
        try:
            answer.fail(outcome)
        except ClientGoneError:
            return


class _MarkedResponder:
    """Adds the outcome header to answers of the target."""

    __slots__ = ('_responder',)

    def __init__(self, *, responder: Responder) -> None:
        self._responder = responder

    def head(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Starts the answer with the header of the outcome."""
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


def _too_large(limit: int) -> Outcome:
    return Outcome.not_run(
        Reason.BODY_TOO_LARGE, f'the body is longer than {limit} bytes'
    )


def _client_gone() -> Outcome:
    return Outcome.not_run(
        Reason.CANCELLED, 'the client left before its request was complete'
    )


def _internal_fault() -> Outcome:
    return Outcome.unknown(
        Reason.ANSWER_LOST, 'the agent failed while it handled the request'
    )
