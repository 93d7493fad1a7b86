"""A request while an agent is responsible for it."""

from contextlib import ExitStack
from types import TracebackType
from typing import Self

import msgspec
from gevent.event import Event

from anvilthread.admission.admission import Admission
from anvilthread.outcomes import Outcome, Reason, Request
from anvilthread.outcomes.event_link import EventLink


class TrackedRequest:
    """Lets a stop wait for a request and interrupt it, wherever it runs.

    Args:
        admission: Source of the stop.
        request: The client's request.
    """

    __slots__ = ('_admission', '_bounded', '_request', '_stack')

    def __init__(self, *, admission: Admission, request: Request) -> None:
        self._admission = admission
        self._request = request
        self._bounded = msgspec.structs.replace(request, cancelled=Event())
        self._stack = ExitStack()

    @property
    def bounded(self) -> Request:
        """The request, cancelled by its client or by a stop."""
        return self._bounded

    def __enter__(self) -> Self:
        sources = (self._request.cancelled, self._admission.stopped)
        link = EventLink(sources=sources, target=self._bounded.cancelled)
        self._stack.enter_context(link)
        self._stack.callback(self._admission.track().release)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stack.close()

    def explain(self, outcome: Outcome) -> Outcome:
        """Names the stop as the reason if the client did not cancel."""
        if outcome.reason is not Reason.CANCELLED:
            return outcome
        if self._request.cancelled.is_set():
            return outcome
        return msgspec.structs.replace(
            outcome,
            reason=Reason.STOPPED,
            detail='the agent stopped before the request had ended',
        )
