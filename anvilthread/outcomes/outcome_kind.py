"""The kinds of outcome of a request."""

from enum import StrEnum


class OutcomeKind(StrEnum):
    """The three outcomes; the value is sent as ``Anvilthread-Outcome``."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
