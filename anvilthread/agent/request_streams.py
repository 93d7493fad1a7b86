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

#: Hop-by-hop headers, and those that the agent sets itself.
_DROPPED_HEADERS: Final = frozenset(
    ('connection', 'host', 'te', 'transfer-encoding')
)


class RequestStreams:
    """Builds requests from streams and reports one outcome for each.

    Args:
        clock: Clock of the latencies.
        classifier: Classifies requests by the rules of their service.
        handler: Runs requests.
        on_ended: Called with the service, the outcome and the latency in ms;
            the latency of a stream is None.
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
        """Answers one request; runs in a separate task."""
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
        pseudo, headers = _split_headers(stream)
        method = pseudo.get(':method', '')
        path = pseudo.get(':path', '')
        if not method or not path.startswith('/'):
            return Err(_malformed_outcome())
        return self._classifier.classify(
            service=service,
            method=method,
            path=path,
            headers=[*headers, ('host', pseudo.get(':authority', ''))],
            body=StreamBody(stream=stream, length=_content_length(headers)),
            cancelled=stream.cancelled,
        )


def _split_headers(
    stream: H3Stream,
) -> tuple[dict[str, str], list[tuple[str, str]]]:
    pseudo: dict[str, str] = {}
    headers: list[tuple[str, str]] = []
    for raw_name, raw_value in stream.headers:
        name, field_value = (
            raw_name.decode('latin-1'),
            raw_value.decode('latin-1'),
        )
        if name.startswith(':'):
            pseudo[name] = field_value
        elif name not in _DROPPED_HEADERS:
            headers.append((name, field_value))
    return pseudo, headers


def _content_length(headers: list[tuple[str, str]]) -> int | None:
    text = dict(headers).get('content-length', '')
    return int(text) if text.isdecimal() else None


def _malformed_outcome() -> Outcome:
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
