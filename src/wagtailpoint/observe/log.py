"""Writes log lines: one line of key=value pairs per event."""

import re
import sys
from datetime import datetime
from typing import Any, Final

from loguru import logger

from wagtailpoint.observe.bounded_sink import BoundedSink

_UNQUOTED_VALUE = re.compile(r"[!#-<>-~]+")
"""Values without quotes: printable ASCII except space, quote and equals sign."""

_NEVER_QUOTED: Final = frozenset((bool, int, float))
"""Types whose values are written without quotes, so that the pattern need not be matched."""

_CALLER_LOGGER: Final = logger.opt(depth=1)
"""Attributes a line to the module that calls `log_event`, by which loguru filters lines."""


class _Output:
    """Where lines are written since `configure_log`, and the lowest level that is.

    Attributes:
        sink: The sink; None before, when other sinks get all lines.
        level_no: The number of the level.
        second: The second whose time stamp was formatted last.
        second_text: That time stamp, without the fraction.
        offset_text: The offset of the local time from UTC in that second.
    """

    def __init__(self) -> None:
        self.sink: BoundedSink | None = None
        self.level_no = 0
        self.second: datetime | None = None
        self.second_text = ""
        self.offset_text = ""


_output = _Output()


def _quote(text: str) -> str:
    if not text:
        return '""'
    # Escape line breaks, with which a value could otherwise forge a log line.
    escaped = "".join(
        character if character.isprintable() else character.encode("unicode_escape").decode()
        for character in text.replace("\\", "\\\\").replace('"', '\\"')
    )
    return f'"{escaped}"'


def _format_time(time: datetime) -> str:
    """Format a time stamp with milliseconds; loguru's own formatting takes 10 times as long."""
    second = time.replace(microsecond=0)
    if second != _output.second:
        text = second.isoformat()
        _output.second, _output.second_text, _output.offset_text = second, text[:19], text[19:]
    return f"{_output.second_text}.{time.microsecond // 1000:03d}{_output.offset_text}"


def _format_record(record: Any) -> str:
    is_unquoted = _UNQUOTED_VALUE.fullmatch
    # The message of a line written without `log_event` may already start with its event.
    event = "" if record["message"].startswith("event=") else "event="
    parts = [
        f"time={_format_time(record['time'])} level={record['level'].name} "
        f"{event}{record['message']}"
    ]
    for name, value in record["extra"].items():
        text = str(value)
        if type(value) not in _NEVER_QUOTED and not is_unquoted(text):
            text = _quote(text)
        parts.append(f"{name}={text}")
    record["extra"]["_line"] = " ".join(parts)
    return "{extra[_line]}\n"


def configure_log(*, level: str, **common: Any) -> None:
    """Write all log lines to standard output without blocking.

    Args:
        level: The lowest level that is written, for example ``INFO``.
        **common: Pairs that are added to every line, for example the instance's address.
    """
    logger.remove()
    logger.configure(extra=common)
    _output.sink = BoundedSink(stream=sys.stdout)
    _output.level_no = logger.level(level).no
    logger.add(
        _output.sink,
        level=level,
        format=_format_record,
        backtrace=False,
        diagnose=False,
    )


def admits_line(budget_name: str) -> bool:
    """Count a line against a budget of lines per second; return whether it may be written.

    Lines of `log_event` are counted by their event. This is for lines that several events share a
    budget for, or whose fields are costly to collect.

    Args:
        budget_name: A name in ``bounded_sink.LINES_PER_S_BY_BUDGET``.
    """
    return _output.sink is None or _output.sink.admits(budget_name)


def log_event(event: str, *, level: str = "INFO", **fields: Any) -> None:
    """Log one event.

    Args:
        event: A fixed name that operators search for, for example ``config-in-force``.
        level: The level.
        **fields: The pairs of this line.
    """
    # Checked here, as a line that the sink would drop costs nearly as much as one it writes.
    sink = _output.sink
    if sink is not None and (logger.level(level).no < _output.level_no or not sink.admits(event)):
        return
    # Fields given to `log` cost less than those of `bind`; loguru adds both to the line.
    _CALLER_LOGGER.log(level, event, **fields)
