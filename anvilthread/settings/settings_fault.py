"""One fault of a settings file."""

from anvilthread.error import AnvilthreadError


class SettingsFault(AnvilthreadError):
    """What is wrong with one key of a file, and what to do about it.

    Args:
        file: Path of the file as the operator gave it.
        key: Dotted key, or an empty string for the file as a whole.
        reason: What is wrong, in one clause.
        remedy: What the operator can do about it, in one clause.
    """

    def __init__(
        self, *, file: str, key: str, reason: str, remedy: str
    ) -> None:
        super().__init__(reason=reason, remedy=remedy)
        self._file = file
        self._key = key

    @property
    def file(self) -> str:
        """Path of the file."""
        return self._file

    @property
    def key(self) -> str:
        """Dotted key; empty for the file as a whole."""
        return self._key

    @property
    def location(self) -> str:
        """The file and, if there is one, the key."""
        return f'{self._file}: {self._key}' if self._key else self._file

    def __str__(self) -> str:
        return f'{self.location}: {super().__str__()}'
