"""Outcomes of requests that admission refuses."""

from typing import Final

from anvilthread.outcomes import Outcome, Reason

_RETRY_SOON_MS: Final = 1000


def deadline_passed() -> Outcome:
    """The deadline passed before the request could start."""
    return Outcome.not_run(
        Reason.DEADLINE_PASSED,
        'the deadline passed before the request could start; '
        'repeat it with a later deadline',
    )


def cancelled() -> Outcome:
    """The client cancelled the request before it started."""
    return Outcome.not_run(
        Reason.CANCELLED, 'the client cancelled the request before it started'
    )


def draining() -> Outcome:
    """The target is draining and no other agent accepted the request."""
    return Outcome.not_run(
        Reason.DRAINING,
        'the target is leaving and no other agent is free; repeat the request',
        _RETRY_SOON_MS,
    )


def target_unavailable() -> Outcome:
    """The target refuses connections."""
    return Outcome.not_run(
        Reason.TARGET_UNAVAILABLE,
        'the target does not take connections; repeat the request',
        _RETRY_SOON_MS,
    )


def too_many_streams(limit: int) -> Outcome:
    """The limit of open streams is reached."""
    return Outcome.not_run(
        Reason.TOO_MANY_STREAMS,
        f'{limit} streams are open, which is the limit; repeat the request',
        _RETRY_SOON_MS,
    )


def queue_full(limit: int) -> Outcome:
    """The queue is full."""
    return Outcome.not_run(
        Reason.OVERLOADED,
        f'{limit} requests wait already, which is the limit; '
        'repeat the request later',
        _RETRY_SOON_MS,
    )


def overloaded(wait_ms: int) -> Outcome:
    """The estimated wait is too long for the deadline of the request."""
    return Outcome.not_run(
        Reason.OVERLOADED,
        f'the request would wait about {wait_ms} ms and miss its deadline; '
        'repeat it later or with a later deadline',
        wait_ms,
    )
