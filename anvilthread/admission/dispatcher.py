"""Dispatch and retry of requests."""

from result import Err, Ok, Result

from anvilthread.admission import refusals
from anvilthread.admission.admission import Admission
from anvilthread.admission.attempts import Attempts
from anvilthread.admission.edge import Edge
from anvilthread.admission.local_place import LocalPlace
from anvilthread.admission.no_offers import NoOffers
from anvilthread.admission.offers import OfferSource, Place
from anvilthread.admission.retry_budget import RetryBudget
from anvilthread.admission.search import Search
from anvilthread.admission.slot import Slot
from anvilthread.admission.tracked_request import TrackedRequest
from anvilthread.clock import Clock
from anvilthread.outcomes import Outcome, Reason, Request, SingleAnswer


class Dispatcher:
    """Runs requests on the local target or on another agent.

    Retries are bounded by the limits and the retry budget.

    Args:
        clock: Clock for the deadlines.
        admission: Admission to the local slots.
        edge: The local target.
        source: Source of offers to other agents; none by default.
    """

    __slots__ = ('_admission', '_budget', '_clock', '_edge', '_source')

    def __init__(
        self,
        *,
        clock: Clock,
        admission: Admission,
        edge: Edge,
        source: OfferSource | None = None,
    ) -> None:
        self._clock = clock
        self._admission = admission
        self._edge = edge
        self._source = source or NoOffers()
        self._budget = RetryBudget(ratio=admission.limits.retry_ratio)

    @property
    def budget(self) -> RetryBudget:
        """The retry budget."""
        return self._budget

    def run(self, request: Request, answer: SingleAnswer) -> Outcome:
        """Runs a request, with retries if they are allowed."""
        self._budget.record()
        tracked = TrackedRequest(admission=self._admission, request=request)
        return tracked.run(lambda bounded: self._run(bounded, answer))

    def run_reserved(
        self, request: Request, answer: SingleAnswer, slot: Slot
    ) -> Outcome:
        """Runs a request of another agent in the slot reserved for it.

        This agent does not retry it; the agent that received it decides that.
        """
        tracked = TrackedRequest(admission=self._admission, request=request)
        place = self._local_place(slot)
        return tracked.run(lambda bounded: place.run(bounded, answer))

    def _run(self, request: Request, answer: SingleAnswer) -> Outcome:
        attempts = Attempts()
        while True:
            found = self._find_place(request, attempts)
            if isinstance(found, Err):
                return attempts.conclude(found.err_value)
            place = found.ok_value
            outcome = place.run(request, answer)
            attempts.record(place, outcome)
            if answer.started or not attempts.is_retriable(outcome, request):
                return attempts.conclude(outcome)
            if not self._may_retry(attempts, outcome):
                return attempts.conclude(outcome)

    def _find_place(
        self, request: Request, attempts: Attempts
    ) -> Result[Place, Outcome]:
        if request.cancelled.is_set():
            return Err(refusals.cancelled())
        search = Search(
            clock=self._clock,
            admission=self._admission,
            source=self._source,
            request=request,
            attempts=attempts,
        )
        found = search.find()
        if isinstance(found, Err):
            return found
        self._admission.estimator.record_start()
        place = found.ok_value
        return Ok(
            self._local_place(place) if isinstance(place, Slot) else place
        )

    def _local_place(self, slot: Slot) -> LocalPlace:
        return LocalPlace(
            clock=self._clock,
            admission=self._admission,
            edge=self._edge,
            slot=slot,
        )

    def _may_retry(self, attempts: Attempts, outcome: Outcome) -> bool:
        if attempts.count >= self._admission.limits.attempts:
            return False
        if outcome.reason is Reason.TARGET_UNAVAILABLE:
            # A refused connection causes no load on the target, and the pause
            # that follows holds back further requests.
            return True
        return self._budget.take()
