"""The runs of one request so far."""

from anvilthread.address import Address
from anvilthread.admission.offers import Place
from anvilthread.outcomes import Outcome, OutcomeKind, Reason, Request

# The target itself is at fault or gone, so another agent can do better.
_RETRIABLE = frozenset(
    (
        Reason.ANSWER_LOST,
        Reason.DRAINING,
        Reason.PEER_UNREACHABLE,
        Reason.RESERVATION_EXPIRED,
        Reason.TARGET_REFUSED,
        Reason.TARGET_UNAVAILABLE,
    )
)


class Attempts:
    """Remembers where a request was tried and what is known about it."""

    __slots__ = ('_count', '_doubt', '_excluded', '_last', '_tried_here')

    def __init__(self) -> None:
        self._count = 0
        self._doubt: Outcome | None = None
        self._last: Outcome | None = None
        self._excluded: set[Address] = set()
        self._tried_here = False

    @property
    def count(self) -> int:
        """Number of runs so far."""
        return self._count

    @property
    def excluded(self) -> frozenset[Address]:
        """Other agents that were tried."""
        return frozenset(self._excluded)

    @property
    def tried_here(self) -> bool:
        """Whether this agent's target was tried."""
        return self._tried_here

    def note(self, place: Place, outcome: Outcome) -> None:
        """Adds a run that has ended."""
        self._count += 1
        self._last = outcome
        if place.agent is None:
            self._tried_here = True
        else:
            self._excluded.add(place.agent)
        if outcome.kind is OutcomeKind.UNKNOWN and self._doubt is None:
            self._doubt = outcome

    def retriable(self, outcome: Outcome, request: Request) -> bool:
        """Whether another run is allowed and can help."""
        if outcome.reason not in _RETRIABLE:
            return False
        if outcome.kind is OutcomeKind.UNKNOWN and not request.idempotent:
            return False
        return not request.cancelled.is_set() and request.body.rewind()

    def conclude(self, outcome: Outcome) -> Outcome:
        """Returns what is true of all runs together.

        A request is *not run* only if no run of it is in doubt. Why there is
        no place for another run says less than why the last one failed.
        """
        if outcome.kind is not OutcomeKind.NOT_RUN:
            return outcome
        return self._doubt or self._last or outcome
