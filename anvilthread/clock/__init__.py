"""Clocks in milliseconds: the system clock and a manual one."""

from anvilthread.clock.clock import Clock
from anvilthread.clock.manual_clock import ManualClock
from anvilthread.clock.system_clock import SystemClock

__all__ = ('Clock', 'ManualClock', 'SystemClock')
