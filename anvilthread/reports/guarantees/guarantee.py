"""The interface of the checks of a trace."""

from collections.abc import Iterator
from typing import Protocol

from anvilthread.reports.guarantees.violation import Violation
from anvilthread.reports.trace import Trace


class Guarantee(Protocol):
    """One guarantee of section 1 of the design."""

    @property
    def name(self) -> str:
        """Name in snake case, for outcome files."""

    @property
    def statement(self) -> str:
        """The guarantee in one clause."""

    def evidence(self, trace: Trace) -> int:
        """Number of events that the guarantee speaks about."""

    def violations(self, trace: Trace) -> Iterator[Violation]:
        """Yields every violation, in any order."""
