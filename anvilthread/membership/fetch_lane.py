"""One part of the table that is being fetched."""


class FetchLane:
    """A range of buckets, fetched one datagram after the other.

    Args:
        first: First bucket.
        end: Bucket after the last one.
    """

    __slots__ = ('_asked_ms', '_end', '_first')

    def __init__(self, *, first: int, end: int) -> None:
        self._first = first
        self._end = end
        self._asked_ms: int | None = None

    @property
    def first(self) -> int:
        """First bucket that is missing."""
        return self._first

    @property
    def end(self) -> int:
        """Bucket after the last one."""
        return self._end

    @property
    def is_done(self) -> bool:
        """Whether nothing is missing."""
        return self._first >= self._end

    def is_idle(self, now_ms: int, retry_ms: int) -> bool:
        """Whether no answer is under way."""
        asked_ms = self._asked_ms
        return asked_ms is None or now_ms - asked_ms >= retry_ms

    def ask(self, now_ms: int) -> None:
        """Records that a peer was asked."""
        self._asked_ms = now_ms

    def advance(self, following: int) -> None:
        """Records that the buckets before one have arrived."""
        self._first = max(self._first + 1, following)
        self._asked_ms = None
