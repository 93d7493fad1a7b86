"""Kinds of calls that count against the rates of the store."""

from enum import StrEnum


class CallKind(StrEnum):
    """Operation of a call; a watch counts as one call while it waits."""

    READ = 'read'
    WRITE = 'write'
    WATCH = 'watch'
    LEASE = 'lease'
