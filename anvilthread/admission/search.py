"""The wait of one request for a place to run."""

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

#: Time after which a request that all peers refused is offered again.
_OFFER_AGAIN_MS: Final = 100

# Other agents can do nothing about these.
_FINAL: Final = frozenset((Reason.DEADLINE_PASSED, Reason.OVERLOADED))


class Search:
    """Waits for a local slot and for other agents at the same time.

    The first to have a free slot gets the request, so that a set of agents
    serves waiting requests as one shared queue would.

    Args:
        clock: Clock of the deadline.
        admission: The local slots.
        source: Other agents.
        request: The request to place.
        attempts: Earlier runs of the request.
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
        """Blocks until there is a place or certainty that there is none.

        Returns:
            A local slot, a place at another agent, or a *not run* outcome.
        """
        self._enter()
        if self._waiter is not None and self._waiter.slot is not None:
            return Ok(self._waiter.slot)
        if self._refusal is not None and self._refusal.reason in _FINAL:
            return Err(self._refusal)
        with EventLink(sources=[self._request.cancelled], target=self._wake):
            return self._wait()

    def _enter(self) -> None:
        if self._attempts.tried_here:
            self._refusal = refusals.target_unavailable()
            return
        entered = self._admission.enter(
            deadline_ms=self._request.deadline_ms,
            stream=self._request.stream,
            own=True,
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
            # A task that is killed must not keep its place in the queue.
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
                self._clock.wait(self._request.cancelled, _OFFER_AGAIN_MS)
            self._sleep()
            taken = self._taken()
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
        """Tells whether a place at another agent may still become free.

        Peers that refuse an offer while all their slots are busy may have a
        free one before the deadline. A request of a target that is gone has
        no other place to wait.
        """
        if refusal.reason is not Reason.TARGET_UNAVAILABLE:
            return False
        return self._offers.asked and self._clock.now_ms() < self._give_up_ms

    def _sleep(self) -> None:
        if not self._offers.pending:
            self._offers.close()
            self._offers = self._offer()
        left_ms = self._request.deadline_ms - self._clock.now_ms()
        self._clock.wait(self._wake, min(left_ms, _OFFER_AGAIN_MS))
        self._wake.clear()

    def _taken(self) -> Slot | Place | None:
        if self._waiter is not None and self._waiter.slot is not None:
            return self._waiter.slot
        return self._offers.take()

    def _close(self, taken: Slot | Place | None) -> None:
        self._offers.close()
        if self._waiter is None:
            return
        if taken is None or taken is not self._waiter.slot:
            self._admission.leave(self._waiter)
