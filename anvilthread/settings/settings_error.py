"""All faults of a settings file."""

from collections.abc import Iterable

from anvilthread.error import AnvilthreadError
from anvilthread.file_fault import FileFault


class SettingsError(AnvilthreadError):
    """A settings or key file cannot be used.

    Args:
        faults: Every fault that was found, at least one.
    """

    def __init__(self, *, faults: Iterable[FileFault]) -> None:
        self._faults = tuple(faults)
        super().__init__(
            reason='\n'.join(
                f'{fault.location}: {fault.reason}' for fault in self._faults
            ),
            remedy='\n'.join(fault.remedy for fault in self._faults),
        )

    @property
    def faults(self) -> tuple[FileFault, ...]:
        """Every fault that was found."""
        return self._faults

    def __str__(self) -> str:
        return '\n'.join(str(fault) for fault in self._faults)
