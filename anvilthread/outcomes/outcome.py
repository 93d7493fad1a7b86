"""The outcome of one request."""

from typing import Final

import msgspec

from anvilthread.outcomes.outcome_kind import OutcomeKind
from anvilthread.outcomes.reason import Reason

OUTCOME_HEADER: Final = 'anvilthread-outcome'

_MS_PER_SECOND: Final = 1000
_PROBLEM_TYPE: Final = 'urn:anvilthread:problem:'
_TITLES: Final = {
    OutcomeKind.NOT_RUN: 'The request was not run',
    OutcomeKind.UNKNOWN: 'Whether the request ran is unknown',
}
_STATUSES: Final = {
    OutcomeKind.ANSWERED: 200,
    OutcomeKind.NOT_RUN: 503,
    OutcomeKind.UNKNOWN: 502,
}
# A client error is still *not run*, but repeating it unchanged is useless.
_CLIENT_ERRORS: Final = {
    Reason.BODY_TOO_LARGE: 413,
    Reason.DEADLINE_MALFORMED: 400,
    Reason.REQUEST_MALFORMED: 400,
    Reason.KEY_EXPIRED: 422,
    Reason.KEY_NOT_ISSUED: 422,
    Reason.KEY_OTHER_REQUEST: 422,
    Reason.KEY_OTHER_SERVICE: 422,
}


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """One of three outcomes, with the reason and what the client can do.

    Args:
        kind: Answered, not run or unknown.
        reason: Why there is no answer; ``NONE`` when there is one.
        detail: One clause for the problem details, with the remedy.
        retry_after_ms: Shortest useful delay before a repeat, if any.
    """

    kind: OutcomeKind
    reason: Reason = Reason.NONE
    detail: str = ''
    retry_after_ms: int | None = None

    @classmethod
    def answered(cls) -> 'Outcome':
        """The target's whole answer has been forwarded."""
        return cls(kind=OutcomeKind.ANSWERED)

    @classmethod
    def not_run(
        cls, reason: Reason, detail: str, retry_after_ms: int | None = None
    ) -> 'Outcome':
        """The target has definitely not started the request."""
        return cls(
            kind=OutcomeKind.NOT_RUN,
            reason=reason,
            detail=detail,
            retry_after_ms=retry_after_ms,
        )

    @classmethod
    def unknown(cls, reason: Reason, detail: str) -> 'Outcome':
        """The request may have run; its answer is not available."""
        return cls(kind=OutcomeKind.UNKNOWN, reason=reason, detail=detail)

    @property
    def status(self) -> int:
        """HTTP status of the answer that reports this outcome."""
        status = _STATUSES[self.kind]
        if self.kind is not OutcomeKind.NOT_RUN:
            return status
        return _CLIENT_ERRORS.get(self.reason, status)

    @property
    def headers(self) -> list[tuple[str, str]]:
        """Headers of the answer that reports this outcome."""
        headers = [
            (OUTCOME_HEADER, str(self.kind)),
            ('content-type', 'application/problem+json'),
            ('content-length', str(len(self.body))),
        ]
        if self.retry_after_ms is not None:
            seconds = -(-self.retry_after_ms // _MS_PER_SECOND)
            headers.append(('retry-after', str(max(seconds, 1))))
        return headers

    @property
    def body(self) -> bytes:
        """Problem details of the outcome (RFC 9457)."""
        return msgspec.json.encode(
            {
                'type': f'{_PROBLEM_TYPE}{self.reason}',
                'title': _TITLES.get(self.kind, ''),
                'status': self.status,
                'detail': self.detail,
                'outcome': str(self.kind),
            }
        )
