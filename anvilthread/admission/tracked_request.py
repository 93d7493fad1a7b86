"""A request while an agent is responsible for it."""

from collections.abc import Callable
from contextlib import ExitStack

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

    __slots__ = ('_admission', '_request')

    def __init__(self, *, admission: Admission, request: Request) -> None:
        self._admission = admission
        self._request = request

    def run(self, step: Callable[[Request], Outcome]) -> Outcome:
        """Runs the request.

        Args:
            step: Gets the request, which its client or a stop can cancel.

        Returns:
            The outcome, with the stop as its reason if that was the cause.
        """
        interrupted = Event()
        sources = (self._request.cancelled, self._admission.stopped)
        with ExitStack() as stack:
            stack.callback(self._admission.track().release)
            link = EventLink(sources=sources, target=interrupted)
            stack.enter_context(link)
            outcome = step(
                msgspec.structs.replace(self._request, cancelled=interrupted)
            )
        return self._explain(outcome)

    def _explain(self, outcome: Outcome) -> Outcome:
        if outcome.reason is not Reason.CANCELLED:
            return outcome
        if self._request.cancelled.is_set():
            return outcome
        return msgspec.structs.replace(
            outcome,
            reason=Reason.STOPPED,
            detail='the agent stopped before the request had ended',
        )
