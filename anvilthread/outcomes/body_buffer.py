"""Request bodies that are buffered in memory."""

from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import Final

from result import Err, Ok, Result

from anvilthread.outcomes.body import Body
from anvilthread.outcomes.bytes_body import BytesBody
from anvilthread.outcomes.outcome import Outcome
from anvilthread.outcomes.reason import Reason
from anvilthread.outcomes.responder import ClientGoneError

_READ_BYTES: Final = 65_536
_RETRY_AFTER_MS: Final = 1000

BufferedBody = AbstractContextManager[BytesBody]


class BodyBuffer:
    """Buffers whole bodies, with a limit for each and a limit for all.

    Args:
        body_limit: Maximum size of one body in bytes.
        total_limit: Maximum size of all buffered bodies in bytes.
    """

    __slots__ = ('_body_limit', '_held_bytes', '_total_limit')

    def __init__(self, *, body_limit: int, total_limit: int) -> None:
        self._body_limit = body_limit
        self._total_limit = total_limit
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that are buffered at present."""
        return self._held_bytes

    def buffer(self, body: Body) -> Result[BufferedBody, Outcome]:
        """Reads a body to its end.

        Args:
            body: Source of the body.

        Returns:
            The body, whose bytes count until its context ends; or the
            outcome that refuses the request.
        """
        parts = bytearray()
        try:
            refusal = self._read(body, parts)
        except BaseException:
            self._held_bytes -= len(parts)
            raise
        if refusal is not None:
            self._held_bytes -= len(parts)
            return Err(refusal)
        return Ok(self._release_on_exit(bytes(parts)))

    def _read(self, body: Body, parts: bytearray) -> Outcome | None:
        if (body.length or 0) > self._body_limit:
            return _too_large(self._body_limit)
        try:
            part = body.read(_READ_BYTES)
            while part:
                parts.extend(part)
                self._held_bytes += len(part)
                if len(parts) > self._body_limit:
                    return _too_large(self._body_limit)
                if self._held_bytes > self._total_limit:
                    return _buffer_full()
                part = body.read(_READ_BYTES)
        except ClientGoneError:
            return _client_gone()
        return None

    @contextmanager
    def _release_on_exit(self, content: bytes) -> Iterator[BytesBody]:
        try:
            yield BytesBody(content=content)
        finally:
            self._held_bytes -= len(content)


def _too_large(limit: int) -> Outcome:
    return Outcome.not_run(
        Reason.BODY_TOO_LARGE, f'the body is longer than {limit} bytes'
    )


def _buffer_full() -> Outcome:
    return Outcome.not_run(
        Reason.OVERLOADED,
        'the agent holds too many request bodies; repeat the request later',
        _RETRY_AFTER_MS,
    )


def _client_gone() -> Outcome:
    return Outcome.not_run(
        Reason.CANCELLED, 'the client left before its request was complete'
    )
