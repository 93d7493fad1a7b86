"""Whether a process is ready for traffic."""


class Health:
    """The conditions that must hold before a process receives traffic.

    A process starts as not ready; ``conditions`` shows which ones hold.

    Args:
        conditions: Names of the conditions, for example ``membership_joined``.
    """

    __slots__ = ('_conditions',)

    def __init__(self, *, conditions: tuple[str, ...]) -> None:
        self._conditions = dict.fromkeys(conditions, False)

    @property
    def is_ready(self) -> bool:
        """Whether every condition holds."""
        return all(self._conditions.values())

    @property
    def conditions(self) -> dict[str, bool]:
        """Whether each condition holds."""
        return dict(self._conditions)

    def report(self, condition: str, *, holds: bool) -> None:
        """Sets whether a condition holds.

        Raises:
            KeyError: If the condition was not passed to the constructor.
        """
        if condition not in self._conditions:
            raise KeyError(condition)
        self._conditions[condition] = holds
