"""The interface of guarantee checks."""

from collections.abc import Iterator
from typing import Protocol

from anvilthread.reports.guarantees.violation import Violation
from anvilthread.reports.trace import Trace


class Guarantee(Protocol):
    """One guarantee of section 1 of the design."""

    @property
    def name(self) -> str:
        """Name in snake case, used in files of expected outcomes."""

    @property
    def statement(self) -> str:
        """The guarantee in one clause."""

    def evidence(self, trace: Trace) -> int:
        """Number of events that the guarantee applies to."""

    def violations(self, trace: Trace) -> Iterator[Violation]:
        """Yields every violation, in any order."""
