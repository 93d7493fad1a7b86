"""One error in the operators' configuration."""

from typing import Self

import msgspec

from anvilthread.error import AnvilthreadError


class Problem(AnvilthreadError):
    """An error at one key of one file.

    Args:
        file: Name of the file.
        key: Dotted path of the key; empty for the whole file.
        reason: What is wrong.
        remedy: How to correct it.
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
        """Dotted path of the key."""
        return self._key

    @classmethod
    def from_validation(
        cls,
        error: msgspec.ValidationError,
        *,
        file: str,
        key: str,
        remedy: str,
    ) -> Self:
        """Rewrites an error of the validating library."""
        text, _, path = str(error).partition(' - at `$')
        return cls(
            file=file,
            key=f'{key}{path.rstrip("`")}',
            reason=text.replace('`', ''),
            remedy=remedy,
        )

    def __str__(self) -> str:
        place = f'{self._file}: {self._key}' if self._key else self._file
        return f'{place}: {super().__str__()}'
