"""Every error that was found in a configuration."""

from anvilthread.configuration.problem import Problem
from anvilthread.error import AnvilthreadError


class InvalidConfigurationError(AnvilthreadError):
    """The operators' configuration has errors.

    Args:
        problems: The errors, in the order of the files and keys.
    """

    def __init__(self, *, problems: tuple[Problem, ...]) -> None:
        number = len(problems)
        noun = 'error' if number == 1 else 'errors'
        super().__init__(
            reason=f'the configuration has {number} {noun}',
            remedy='correct every line below and apply again',
        )
        self._problems = problems

    @property
    def problems(self) -> tuple[Problem, ...]:
        """The errors."""
        return self._problems

    def __str__(self) -> str:
        lines = [super().__str__(), *map(str, self._problems)]
        return '\n'.join(lines)
