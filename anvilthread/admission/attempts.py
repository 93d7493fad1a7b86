"""Attempts to run one request."""

from anvilthread.address import Address
from anvilthread.admission.offers import Place
from anvilthread.outcomes import Outcome, OutcomeKind, Reason, Request

# The target has failed or is unavailable, so another agent may succeed.
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
    """Tracks the attempts of a request and their outcomes."""

    __slots__ = (
        '_count',
        '_excluded',
        '_first_unknown',
        '_last',
        '_tried_locally',
    )

    def __init__(self) -> None:
        self._count = 0
        self._first_unknown: Outcome | None = None
        self._last: Outcome | None = None
        self._excluded: set[Address] = set()
        self._tried_locally = False

    @property
    def count(self) -> int:
        """Number of attempts."""
        return self._count

    @property
    def excluded(self) -> frozenset[Address]:
        """Other agents on which the request was tried."""
        return frozenset(self._excluded)

    @property
    def tried_locally(self) -> bool:
        """Whether the request was tried on this agent's target."""
        return self._tried_locally

    def record(self, place: Place, outcome: Outcome) -> None:
        """Adds a completed attempt."""
        self._count += 1
        self._last = outcome
        if place.agent is None:
            self._tried_locally = True
        else:
            self._excluded.add(place.agent)
        if outcome.kind is OutcomeKind.UNKNOWN and self._first_unknown is None:
            self._first_unknown = outcome

    def is_retriable(self, outcome: Outcome, request: Request) -> bool:
        """Tells whether another attempt is allowed and may succeed."""
        if outcome.reason not in _RETRIABLE:
            return False
        if outcome.kind is OutcomeKind.UNKNOWN and not request.idempotent:
            return False
        return not request.cancelled.is_set() and request.body.rewind()

    def conclude(self, outcome: Outcome) -> Outcome:
        """Returns the outcome of all attempts together.

        A request is *not run* only if no attempt has an unknown outcome.
        Otherwise the outcome of the last attempt is returned: its failure says
        more than the reason why there is no place for another attempt.
        """
        if outcome.kind is not OutcomeKind.NOT_RUN:
            return outcome
        return self._first_unknown or self._last or outcome
