"""Kinds of calls that count against the rates of the store."""

from enum import StrEnum


class CallKind(StrEnum):
    """What a call does; a waiting watch is one call."""

    READ = 'read'
    WRITE = 'write'
    WATCH = 'watch'
    LEASE = 'lease'
