"""Load reports of backend servers, as they stand in a response header."""

import re
from typing import Final, NamedTuple

from result import Err, Ok, Result

NORMAL_PACE: Final = 1.0

MIN_PACE: Final = 0.1
MAX_PACE: Final = 20.0
"""Bounds of the pace that a report can state. A value beyond them is implausible, and would decide
alone where requests are sent."""

_PACE_SCALE: Final = 100.0
"""The stated pace of a machine on which work takes its normal time."""

_NUMBER: Final = re.compile(rb"[0-9]{1,9}")

MAX_SHOWN_BYTES: Final = 40


class LoadReport(NamedTuple):
    """The load report that a backend server sends with a response.

    Attributes:
        running: The number of requests that it runs.
        waiting: The number of requests in its queue.
        slots: The number of requests that it can run at the same time.
        pace: How long work takes on its machine at the moment, as a multiple of the normal time.
        has_pace: The report stated the pace.
    """

    running: int
    waiting: int
    slots: int
    pace: float = NORMAL_PACE
    has_pace: bool = False


def parse_load(value: bytes) -> Result[LoadReport, str]:
    """Parse a load report ``RUNNING,WAITING,SLOTS`` or ``RUNNING,WAITING,SLOTS,PACE``.

    Returns:
        The report with its pace between ``MIN_PACE`` and ``MAX_PACE``, or an error that says what
        was given and what was expected.
    """
    parts = [part.strip() for part in value.split(b",", maxsplit=4)]
    if len(parts) not in (3, 4) or not all(map(_NUMBER.fullmatch, parts)):
        return _malformed(value, "3 or 4 integers of 1 to 9 digits, separated by commas")
    running, waiting, slots, *stated = map(int, parts)
    if slots < 1:
        return _malformed(value, "at least 1 slot as the third number")
    if not stated:
        return Ok(LoadReport(running, waiting, slots))
    if stated[0] < 1:
        return _malformed(value, "a pace of at least 1 percent as the fourth number")
    pace = min(MAX_PACE, max(MIN_PACE, stated[0] / _PACE_SCALE))
    return Ok(LoadReport(running, waiting, slots, pace, has_pace=True))


def _malformed(value: bytes, expected: str) -> Err[str]:
    shown = value[:MAX_SHOWN_BYTES].decode("latin-1")
    return Err(f"given {shown!r}, expected {expected}")
