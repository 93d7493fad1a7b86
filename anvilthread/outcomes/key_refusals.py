"""Outcomes of requests whose execution key prevents a run."""

from anvilthread.outcomes.key_issuer import KEY_PATH
from anvilthread.outcomes.outcome import Outcome
from anvilthread.outcomes.reason import Reason


def not_issued() -> Outcome:
    """The key was not sealed by an agent."""
    return Outcome.not_run(
        Reason.KEY_NOT_ISSUED,
        f'Idempotency-Key was not issued here; get a key from {KEY_PATH}',
    )


def sealing_key_missing() -> Outcome:
    """The key may be valid, but this agent cannot read its owner."""
    return Outcome.unknown(
        Reason.KEY_UNREADABLE,
        'this agent does not hold the key that sealed the execution key; '
        'repeat the request, or check whether it took effect',
    )


def expired() -> Outcome:
    """The key was never used and has expired."""
    return Outcome.not_run(
        Reason.KEY_EXPIRED,
        'the execution key has expired and was never used; '
        f'get a new key from {KEY_PATH}',
    )


def other_service() -> Outcome:
    """The key is for another service."""
    return Outcome.not_run(
        Reason.KEY_OTHER_SERVICE,
        'the execution key is for another service; '
        f'get a key from {KEY_PATH} of this service',
    )


def other_request() -> Outcome:
    """The key was used for a request with another path or body."""
    return Outcome.not_run(
        Reason.KEY_OTHER_REQUEST,
        'the execution key was used for a different request; '
        f'get a new key from {KEY_PATH}',
    )


def table_full() -> Outcome:
    """The table has no room for one more key."""
    return Outcome.not_run(
        Reason.KEY_TABLE_FULL,
        'the agent cannot remember more execution keys; '
        'repeat the request later',
        1000,
    )


def owner_gone() -> Outcome:
    """Only a process that no longer exists knew whether the key was used."""
    return Outcome.unknown(
        Reason.OWNER_GONE,
        'the agent that issued the execution key is gone, and with it the '
        'record of its use; check whether the request took effect',
    )


def owner_unreachable() -> Outcome:
    """The owner does not answer."""
    return Outcome.unknown(
        Reason.PEER_UNREACHABLE,
        'the agent that issued the execution key does not answer; '
        'repeat the request with the same key',
    )


def answer_not_kept() -> Outcome:
    """The request has run, and its answer is no longer kept."""
    return Outcome.unknown(
        Reason.ANSWER_NOT_KEPT,
        'the request was run before and its answer is no longer kept; '
        'check its effect',
    )


def record_dropped() -> Outcome:
    """The key expired so long ago that its record may have been dropped."""
    return Outcome.unknown(
        Reason.KEY_EXPIRED,
        'the execution key expired too long ago to tell whether it was used; '
        'check whether the request took effect',
    )


def still_running() -> Outcome:
    """The first request did not end within the deadline of the repeat."""
    return Outcome.unknown(
        Reason.DEADLINE_PASSED,
        'the first request with this key still runs; '
        'repeat the request with the same key',
    )
