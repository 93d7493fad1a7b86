"""Checks a recorded trace against the guarantees."""

from collections.abc import Iterable, Sequence
from typing import Final

from anvilthread.reports.guarantees import (
    AnswersWhole,
    ConfigurationHolds,
    ConnectionsKept,
    DrainTakesEffect,
    Guarantee,
    NotRunIsTrue,
    RunsAtMostOnce,
    ServicesSeparate,
    StopInterruptsNothing,
    Violation,
)
from anvilthread.reports.trace import Trace
from anvilthread.reports.verdict import Verdict

#: The guarantees in the order of section 1 of the design.
ALL_GUARANTEES: Final[tuple[Guarantee, ...]] = (
    ConnectionsKept(),
    ServicesSeparate(),
    AnswersWhole(),
    NotRunIsTrue(),
    RunsAtMostOnce(),
    DrainTakesEffect(),
    StopInterruptsNothing(),
    ConfigurationHolds(),
)


def replay(trace: Trace, guarantees: Iterable[Guarantee]) -> Sequence[Verdict]:
    """Checks a trace against guarantees.

    Args:
        trace: The recorded events.
        guarantees: The guarantees to check.

    Returns:
        One verdict per guarantee, in the same order.
    """
    return tuple(_check(trace, guarantee) for guarantee in guarantees)


def _check(trace: Trace, guarantee: Guarantee) -> Verdict:
    violations = sorted(guarantee.violations(trace), key=_line_of)
    return Verdict(
        name=guarantee.name,
        statement=guarantee.statement,
        evidence=guarantee.evidence(trace),
        violations=tuple(violations),
    )


def _line_of(violation: Violation) -> int:
    return violation.line
