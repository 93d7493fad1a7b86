"""One part of a table transfer."""


class FetchRange:
    """A range of buckets that is fetched one datagram at a time.

    Args:
        first: First bucket.
        end: Bucket after the last one.
    """

    __slots__ = ('_end', '_first', '_requested_ms')

    def __init__(self, *, first: int, end: int) -> None:
        self._first = first
        self._end = end
        self._requested_ms: int | None = None

    @property
    def first(self) -> int:
        """First bucket that has not been received."""
        return self._first

    @property
    def end(self) -> int:
        """Bucket after the last one."""
        return self._end

    @property
    def is_done(self) -> bool:
        """Whether all buckets have been received."""
        return self._first >= self._end

    def is_idle(self, now_ms: int, retry_ms: int) -> bool:
        """Whether no request is outstanding, or its retry time has passed."""
        requested_ms = self._requested_ms
        return requested_ms is None or now_ms - requested_ms >= retry_ms

    def mark_requested(self, now_ms: int) -> None:
        """Records that a request was sent."""
        self._requested_ms = now_ms

    def advance(self, following: int) -> None:
        """Records that the buckets before ``following`` were received."""
        self._first = max(self._first + 1, following)
        self._requested_ms = None
