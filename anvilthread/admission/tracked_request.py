"""A request for which this agent is responsible."""

from collections.abc import Callable
from contextlib import ExitStack

import msgspec
from gevent.event import Event

from anvilthread.admission.admission import Admission
from anvilthread.outcomes import Outcome, Reason, Request
from anvilthread.outcomes.event_link import EventLink


class TrackedRequest:
    """Allows a stop to wait for a request and to interrupt it.

    This holds for requests on the local target and on other agents.

    Args:
        admission: Admission whose stop interrupts the request.
        request: The client's request.
    """

    __slots__ = ('_admission', '_request')

    def __init__(self, *, admission: Admission, request: Request) -> None:
        self._admission = admission
        self._request = request

    def run(self, step: Callable[[Request], Outcome]) -> Outcome:
        """Runs the request.

        Args:
            step: Called with the request, which its client or a stop can
                cancel.

        Returns:
            The outcome; its reason is the stop if that cancelled the request.
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
