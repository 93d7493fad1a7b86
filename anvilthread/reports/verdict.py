"""The verdict on one guarantee."""

from anvilthread.reports.guarantees.violation import Violation


class Verdict:
    """The result of checking a trace against one guarantee.

    Args:
        name: Name of the guarantee.
        statement: The guarantee in one clause.
        evidence: Number of events that the guarantee applies to.
        violations: Every violation in order of line number.
    """

    __slots__ = ('_evidence', '_name', '_statement', '_violations')

    def __init__(
        self,
        *,
        name: str,
        statement: str,
        evidence: int,
        violations: tuple[Violation, ...],
    ) -> None:
        self._name = name
        self._statement = statement
        self._evidence = evidence
        self._violations = violations

    @property
    def name(self) -> str:
        """Name of the guarantee."""
        return self._name

    @property
    def statement(self) -> str:
        """The guarantee in one clause."""
        return self._statement

    @property
    def evidence(self) -> int:
        """Number of events that the guarantee applies to."""
        return self._evidence

    @property
    def violations(self) -> tuple[Violation, ...]:
        """Every violation in order of line number."""
        return self._violations

    @property
    def text(self) -> str:
        """``holds``, ``violated``, or ``no evidence`` without events."""
        if self._violations:
            return 'violated'
        return 'holds' if self._evidence else 'no evidence'
