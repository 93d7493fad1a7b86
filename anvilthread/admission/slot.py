"""A slot for one request on the target."""

from collections.abc import Callable


class Slot:
    """A slot in use, to be released exactly once.

    Args:
        on_release: Called on the first release.
    """

    __slots__ = ('_on_release',)

    def __init__(self, *, on_release: Callable[[], None]) -> None:
        self._on_release: Callable[[], None] | None = on_release

    @property
    def held(self) -> bool:
        """Whether the slot has not been released yet."""
        return self._on_release is not None

    def release(self) -> None:
        """Releases the slot; further calls have no effect."""
        on_release = self._on_release
        self._on_release = None
        if on_release is not None:
            on_release()
