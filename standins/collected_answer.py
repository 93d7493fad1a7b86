"""A client's side of an answer, for tests and benchmarks."""

from collections.abc import Callable, Sequence

from anvilthread.outcomes import Outcome


class CollectedAnswer:
    """Keeps what a client would have received.

    Args:
        on_chunk: Called with every chunk before it is kept; may block or
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
        """Keeps status and headers."""
        self.status = status
        self.headers = dict(headers)

    def chunk(self, data: bytes) -> None:
        """Keeps a part of the body."""
        if self._on_chunk is not None:
            self._on_chunk(data)
        self.content += data

    def end(self) -> None:
        """Notes the end."""
        self.ended = True

    def fail(self, outcome: Outcome) -> None:
        """Notes the failure."""
        self.failure = outcome
