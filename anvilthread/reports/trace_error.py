"""Errors of recorded files."""

from anvilthread.error import AnvilthreadError


class TraceError(AnvilthreadError):
    """A trace, snapshot or objectives file cannot be used."""
