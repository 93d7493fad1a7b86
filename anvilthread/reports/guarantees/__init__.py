"""Checks of a trace against the guarantees of the design."""

from anvilthread.reports.guarantees.answers_whole import AnswersWhole
from anvilthread.reports.guarantees.configuration_holds import (
    ConfigurationHolds,
)
from anvilthread.reports.guarantees.connections_kept import ConnectionsKept
from anvilthread.reports.guarantees.drain_takes_effect import DrainTakesEffect
from anvilthread.reports.guarantees.guarantee import Guarantee
from anvilthread.reports.guarantees.not_run_is_true import NotRunIsTrue
from anvilthread.reports.guarantees.runs_at_most_once import RunsAtMostOnce
from anvilthread.reports.guarantees.services_separate import ServicesSeparate
from anvilthread.reports.guarantees.stop_interrupts_nothing import (
    StopInterruptsNothing,
)
from anvilthread.reports.guarantees.violation import Violation

__all__ = (
    'AnswersWhole',
    'ConfigurationHolds',
    'ConnectionsKept',
    'DrainTakesEffect',
    'Guarantee',
    'NotRunIsTrue',
    'RunsAtMostOnce',
    'ServicesSeparate',
    'StopInterruptsNothing',
    'Violation',
)
