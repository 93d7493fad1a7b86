"""Requests on HTTP/3 streams."""

from collections.abc import Callable
from typing import Final

from result import Err, Result

from anvilthread.agent.h3_stream import H3Stream
from anvilthread.agent.stream_body import StreamBody
from anvilthread.agent.stream_responder import StreamResponder
from anvilthread.clock import Clock
from anvilthread.outcomes import (
    ClientGoneError,
    Outcome,
    Reason,
    Request,
    RequestClassifier,
    RequestHandler,
)

OnEnded = Callable[[int, Outcome, int | None], None]

#: Headers of one hop, and those that the agent sets itself.
_DROPPED: Final = frozenset(('connection', 'host', 'te', 'transfer-encoding'))


class RequestStreams:
    """Turns streams into requests and gives each one outcome.

    Args:
        clock: Clock of the latencies.
        classifier: Builds requests by the rules of their service.
        handler: Runs requests.
        on_ended: Called with service, outcome and latency in ms, or None
            instead of the latency of a stream.
    """

    __slots__ = ('_classifier', '_clock', '_handler', '_on_ended')

    def __init__(
        self,
        *,
        clock: Clock,
        classifier: RequestClassifier,
        handler: RequestHandler,
        on_ended: OnEnded,
    ) -> None:
        self._clock = clock
        self._classifier = classifier
        self._handler = handler
        self._on_ended = on_ended

    def handle(self, stream: H3Stream, service: int) -> None:
        """Answers one request; runs in a task of its own."""
        started_ms = self._clock.now_ms()
        responder = StreamResponder(stream=stream)
        classified = self._classify(stream, service)
        if isinstance(classified, Err):
            _refuse(responder, classified.err_value)
            self._on_ended(service, classified.err_value, None)
            return
        request = classified.ok_value
        outcome = self._handler.handle(request, responder)
        latency_ms = self._clock.now_ms() - started_ms
        self._on_ended(service, outcome, None if request.stream else latency_ms)

    def _classify(
        self, stream: H3Stream, service: int
    ) -> Result[Request, Outcome]:
        pseudo, headers = _split(stream)
        method = pseudo.get(':method', '')
        path = pseudo.get(':path', '')
        if not method or not path.startswith('/'):
            return Err(_malformed())
        return self._classifier.classify(
            service=service,
            method=method,
            path=path,
            headers=[*headers, ('host', pseudo.get(':authority', ''))],
            body=StreamBody(stream=stream, length=_length(headers)),
            cancelled=stream.cancelled,
        )


def _split(stream: H3Stream) -> tuple[dict[str, str], list[tuple[str, str]]]:
    pseudo: dict[str, str] = {}
    headers: list[tuple[str, str]] = []
    for raw_name, raw_content in stream.headers:
        name, content = (
            raw_name.decode('latin-1'),
            raw_content.decode('latin-1'),
        )
        if name.startswith(':'):
            pseudo[name] = content
        elif name not in _DROPPED:
            headers.append((name, content))
    return pseudo, headers


def _length(headers: list[tuple[str, str]]) -> int | None:
    text = dict(headers).get('content-length', '')
    return int(text) if text.isdecimal() else None


def _malformed() -> Outcome:
    return Outcome.not_run(
        Reason.REQUEST_MALFORMED,
        'the request has no method or path; send both pseudo-headers',
    )


def _refuse(responder: StreamResponder, outcome: Outcome) -> None:
    try:
        responder.fail(outcome)
    except ClientGoneError:
        # The client no longer waits for the refusal.
        return
