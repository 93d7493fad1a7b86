"""Messages of a handover between two agents."""

import msgspec

from anvilthread.outcomes.outcome import Outcome


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages."""


class Offer(Message, frozen=True):
    """Requests a place; the request definitely does not run before ``Run``.

    Args:
        left_ms: Remaining time to the deadline.
        stream: Whether the request is a stream.
        decide: Whether the other agent has to decide about an execution key
            that it issued; otherwise the offer requests a slot.
    """

    left_ms: int
    stream: bool
    decide: bool = False


class Reserved(Message, frozen=True):
    """A place is held until ``Run`` arrives or the reservation expires."""


class Refused(Message, frozen=True):
    """No place is available; the outcome is *not run* with the reason."""

    outcome: Outcome


class Run(Message, frozen=True):
    """Runs the request in the reserved place.

    Args:
        method: HTTP method.
        path: Path with query.
        headers: Pairs of name and value.
        service: Number of the service.
        left_ms: Remaining time to the deadline.
        idempotent: Whether the request may run twice.
        stream: Whether the request is a stream.
        execution_key: Value of ``Idempotency-Key``.
        body_length: Length of the body that follows in chunks, if known.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    service: int
    left_ms: int
    idempotent: bool
    stream: bool
    execution_key: str | None
    body_length: int | None


class Head(Message, frozen=True):
    """Head of the answer."""

    status: int
    headers: tuple[tuple[str, str], ...]


class Chunk(Message, frozen=True):
    """A part of the body of the request or of the answer."""

    data: bytes


class End(Message, frozen=True):
    """End of the body of the request or of the answer."""


class Failed(Message, frozen=True):
    """The run has ended without a complete answer."""

    outcome: Outcome


class Cancel(Message, frozen=True):
    """The offering agent no longer needs the place or the answer."""


AnyMessage = (
    Offer | Reserved | Refused | Run | Head | Chunk | End | Failed | Cancel
)
