"""The exit codes of the command-line tool, for scripts to rely on."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Why a command ended; listed for operators in ``docs/operators.md``."""

    OK = 0
    FAILED = 1
    WRONG_INPUT = 2
    CONFLICT = 3
    UNKNOWN_OUTCOME = 4
    PLATFORM_UNAVAILABLE = 5
    WAIT_TIMED_OUT = 6
