"""Every error that was found in a configuration."""

from anvilthread.error import AnvilthreadError
from anvilthread.file_fault import FileFault


class InvalidConfigurationError(AnvilthreadError):
    """The operators' configuration has errors.

    Args:
        problems: The errors, in the order of the files and keys.
    """

    def __init__(self, *, problems: tuple[FileFault, ...]) -> None:
        number = len(problems)
        noun = 'error' if number == 1 else 'errors'
        super().__init__(
            reason=f'the configuration has {number} {noun}',
            remedy='correct every line below and apply again',
        )
        self._problems = problems

    @property
    def problems(self) -> tuple[FileFault, ...]:
        """The errors."""
        return self._problems

    def __str__(self) -> str:
        lines = [super().__str__(), *map(str, self._problems)]
        return '\n'.join(lines)
