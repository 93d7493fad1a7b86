"""Exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes for scripts; docs/commands.md explains each of them."""

    OK = 0
    PROBLEM_FOUND = 1
    USAGE = 2
    BAD_INPUT = 3
    NO_ANSWER = 4
    REFUSED = 5
    UNAVAILABLE = 6
    INTERNAL = 70
    INTERRUPTED = 130
