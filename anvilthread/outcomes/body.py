"""The body of a request."""

from typing import Protocol


class Body(Protocol):
    """A request body that is read in chunks."""

    @property
    def length(self) -> int | None:
        """Length in bytes, or None when it is not known in advance."""

    def read(self, limit: int) -> bytes:
        """Blocks for the next bytes.

        Args:
            limit: Maximum number of bytes to return.

        Returns:
            The next bytes; empty at the end of the body.

        Raises:
            ClientGoneError: If the rest of the body will not arrive.
        """

    def rewind(self) -> bool:
        """Rewinds to the first byte; returns whether that was possible."""
