"""A body that is held in memory."""


class BytesBody:
    """A body of known content that can be read any number of times.

    Args:
        content: The whole body.
    """

    __slots__ = ('_content', '_offset')

    def __init__(self, *, content: bytes = b'') -> None:
        self._content = content
        self._offset = 0

    @property
    def length(self) -> int:
        """Length in bytes."""
        return len(self._content)

    def read(self, limit: int) -> bytes:
        """Returns the next bytes; empty at the end."""
        start = self._offset
        part = self._content[start : start + limit]
        self._offset += len(part)
        return part

    def rewind(self) -> bool:
        """Rewinds to the first byte."""
        self._offset = 0
        return True
