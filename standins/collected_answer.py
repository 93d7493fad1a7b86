"""An answer collected in memory, for tests and benchmarks."""

from collections.abc import Callable, Sequence

from anvilthread.outcomes import Outcome


class CollectedAnswer:
    """Collects the answer that a client would receive.

    Args:
        on_chunk: Called with every chunk before it is stored; may block or
            raise.
    """

    def __init__(
        self, *, on_chunk: Callable[[bytes], None] | None = None
    ) -> None:
        self._on_chunk = on_chunk
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.content = bytearray()
        self.ended = False
        self.failure: Outcome | None = None

    @property
    def whole(self) -> bool:
        """Whether a complete answer of the target has arrived."""
        return self.ended and self.failure is None

    def head(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Stores status and headers."""
        self.status = status
        self.headers = dict(headers)

    def chunk(self, data: bytes) -> None:
        """Stores a part of the body."""
        if self._on_chunk is not None:
            self._on_chunk(data)
        self.content += data

    def end(self) -> None:
        """Records the end of the answer."""
        self.ended = True

    def fail(self, outcome: Outcome) -> None:
        """Records the failure."""
        self.failure = outcome
