"""What can be said about the execution of a request."""

from enum import StrEnum


class OutcomeKind(StrEnum):
    """The three outcomes; the value is sent as ``Anvilthread-Outcome``."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
