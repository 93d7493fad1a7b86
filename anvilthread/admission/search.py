"""Search for a place to run one request."""

from typing import Final

from gevent.event import Event
from result import Err, Ok, Result

from anvilthread.admission import refusals
from anvilthread.admission.admission import Admission
from anvilthread.admission.attempts import Attempts
from anvilthread.admission.no_offers import NoOffers
from anvilthread.admission.offers import Offers, OfferSource, Place
from anvilthread.admission.slot import Slot
from anvilthread.admission.waiter import Waiter
from anvilthread.clock import Clock
from anvilthread.outcomes import Outcome, Reason, Request
from anvilthread.outcomes.event_link import EventLink

#: Interval between offers of a request that all peers have refused.
_OFFER_RETRY_INTERVAL_MS: Final = 100

# Refusals that an offer to another agent cannot resolve.
_FINAL_REASONS: Final = frozenset((Reason.DEADLINE_PASSED, Reason.OVERLOADED))


class Search:
    """Waits for a local slot and for other agents in parallel.

    The request goes to the agent that has a free slot first, so that a group of
    agents serves waiting requests like one shared queue.

    Args:
        clock: Clock for the deadline.
        admission: Admission to the local slots.
        source: Source of offers to other agents.
        request: The request to place.
        attempts: Earlier attempts of the request.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        admission: Admission,
        source: OfferSource,
        request: Request,
        attempts: Attempts,
    ) -> None:
        self._clock = clock
        self._admission = admission
        self._source = source
        self._request = request
        self._attempts = attempts
        self._wake = Event()
        self._waiter: Waiter | None = None
        self._refusal: Outcome | None = None
        self._offers: Offers = NoOffers()
        left_ms = request.deadline_ms - clock.now_ms()
        shed_ms = left_ms * admission.limits.shed_ratio
        self._give_up_ms = clock.now_ms() + shed_ms

    def find(self) -> Result[Slot | Place, Outcome]:
        """Blocks until a place is found or the request is finally refused.

        Returns:
            A local slot, a place at another agent, or a *not run* outcome.
        """
        self._enter()
        if self._waiter is not None and self._waiter.slot is not None:
            return Ok(self._waiter.slot)
        if self._refusal is not None and self._refusal.reason in _FINAL_REASONS:
            return Err(self._refusal)
        with EventLink(sources=[self._request.cancelled], target=self._wake):
            return self._wait()

    def _enter(self) -> None:
        if self._attempts.tried_locally:
            self._refusal = refusals.target_unavailable()
            return
        entered = self._admission.enter(
            deadline_ms=self._request.deadline_ms,
            stream=self._request.stream,
            is_local=True,
            wake=self._wake,
        )
        if isinstance(entered, Ok):
            self._waiter = entered.ok_value
        else:
            self._refusal = entered.err_value

    def _wait(self) -> Result[Slot | Place, Outcome]:
        self._offers = self._offer()
        try:
            found = self._wait_for_place()
        except BaseException:
            # A killed task must not keep its entry in the queue.
            self._close(None)
            raise
        self._close(found.ok())
        return found

    def _wait_for_place(self) -> Result[Slot | Place, Outcome]:
        while True:
            refusal = self._final_refusal()
            if refusal is not None:
                if not self._may_offer_again(refusal):
                    return Err(refusal)
                self._clock.wait(
                    self._request.cancelled, _OFFER_RETRY_INTERVAL_MS
                )
            self._wait_for_wake()
            taken = self._take_place()
            if taken is not None:
                return Ok(taken)

    def _offer(self) -> Offers:
        return self._source.offer(
            self._request, self._attempts.excluded, self._wake
        )

    def _final_refusal(self) -> Outcome | None:
        if self._request.cancelled.is_set():
            return refusals.cancelled()
        if self._request.deadline_ms <= self._clock.now_ms():
            return refusals.deadline_passed()
        if self._waiter is not None and self._waiter.refusal is not None:
            self._refusal = self._waiter.refusal
            self._waiter = None
        elif self._refusal is not None and not self._offers.pending:
            return self._refusal
        return None

    def _may_offer_again(self, refusal: Outcome) -> bool:
        """Tells whether another agent may still get a free slot in time.

        Peers that refuse an offer while all their slots are busy may have a
        free one before the deadline. While the local target is unavailable, the
        request cannot wait in the local queue.
        """
        if refusal.reason is not Reason.TARGET_UNAVAILABLE:
            return False
        return self._offers.asked and self._clock.now_ms() < self._give_up_ms

    def _wait_for_wake(self) -> None:
        if not self._offers.pending:
            self._offers.close()
            self._offers = self._offer()
        left_ms = self._request.deadline_ms - self._clock.now_ms()
        self._clock.wait(self._wake, min(left_ms, _OFFER_RETRY_INTERVAL_MS))
        self._wake.clear()

    def _take_place(self) -> Slot | Place | None:
        if self._waiter is not None and self._waiter.slot is not None:
            return self._waiter.slot
        return self._offers.take()

    def _close(self, taken: Slot | Place | None) -> None:
        self._offers.close()
        if self._waiter is None:
            return
        if taken is None or taken is not self._waiter.slot:
            self._admission.leave(self._waiter)
