"""A fault in a file that an operator wrote."""

from typing import TYPE_CHECKING, Self

from anvilthread.error import AnvilthreadError

if TYPE_CHECKING:
    import msgspec


class FileFault(AnvilthreadError):
    """A fault in one key of a file, with its remedy.

    Args:
        file: Name of the file as the operator gave it.
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
        """Name of the file."""
        return self._file

    @property
    def key(self) -> str:
        """Dotted key; empty for the file as a whole."""
        return self._key

    @property
    def location(self) -> str:
        """The file and, if there is one, the key."""
        return f'{self._file}: {self._key}' if self._key else self._file

    @classmethod
    def from_validation(
        cls,
        error: 'msgspec.ValidationError',
        *,
        file: str,
        key: str,
        remedy: str,
    ) -> Self:
        """Converts a validation error of msgspec."""
        text, _, path = str(error).partition(' - at `$')
        return cls(
            file=file,
            key=f'{key}{path.rstrip("`")}',
            reason=text.replace('`', ''),
            remedy=remedy,
        )

    def __str__(self) -> str:
        return f'{self.location}: {super().__str__()}'
