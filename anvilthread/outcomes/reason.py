"""Reasons why a request has no answer from the target."""

from enum import StrEnum


class Reason(StrEnum):
    """Reasons; the value ends the problem type URI (RFC 9457)."""

    NONE = 'none'
    ANSWER_LOST = 'answer-lost'
    ANSWER_NOT_KEPT = 'answer-not-kept'
    BODY_TOO_LARGE = 'body-too-large'
    CANCELLED = 'cancelled'
    DEADLINE_MALFORMED = 'deadline-malformed'
    DEADLINE_PASSED = 'deadline-passed'
    DRAINING = 'draining'
    KEY_EXPIRED = 'key-expired'
    KEY_NOT_ISSUED = 'key-not-issued'
    KEY_OTHER_REQUEST = 'key-other-request'
    KEY_OTHER_SERVICE = 'key-other-service'
    KEY_UNREADABLE = 'key-unreadable'
    KEY_TABLE_FULL = 'key-table-full'
    OVERLOADED = 'overloaded'
    OWNER_GONE = 'owner-gone'
    PEER_UNREACHABLE = 'peer-unreachable'
    REQUEST_MALFORMED = 'request-malformed'
    RESERVATION_EXPIRED = 'reservation-expired'
    STOPPED = 'stopped'
    TARGET_REFUSED = 'target-refused'
    TARGET_UNAVAILABLE = 'target-unavailable'
    TOO_MANY_STREAMS = 'too-many-streams'
