"""The exit codes of the command-line tool. Scripts rely on them, so they stay stable."""

from enum import IntEnum


class ExitCode(IntEnum):
    """The outcome of a command; documented for operators in ``docs/operators.md``."""

    OK = 0
    FAILED = 1
    WRONG_INPUT = 2
    CONFLICT = 3
    UNKNOWN_OUTCOME = 4
    PLATFORM_UNAVAILABLE = 5
    WAIT_TIMED_OUT = 6
