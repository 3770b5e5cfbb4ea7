"""Writes log lines: one line of key=value pairs per event."""

import re
import sys
from typing import Any

from loguru import logger

from wagtailpoint.observe.bounded_sink import BoundedSink

_UNQUOTED_VALUE = re.compile(r"[!#-<>-~]+")
"""Values without quotes: printable ASCII except space, quote and equals sign."""


def _quote(value: Any) -> str:
    text = str(value)
    if _UNQUOTED_VALUE.fullmatch(text):
        return text
    # Escape line breaks, with which a value could otherwise forge a log line.
    escaped = "".join(
        character if character.isprintable() else character.encode("unicode_escape").decode()
        for character in text.replace("\\", "\\\\").replace('"', '\\"')
    )
    return f'"{escaped}"'


def _format_record(record: Any) -> str:
    pairs = " ".join(f"{name}={_quote(value)}" for name, value in record["extra"].items())
    record["extra"]["_line"] = pairs
    # The message of a line written without `log_event` may already start with its event.
    event = "" if record["message"].startswith("event=") else "event="
    return (
        "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} " + event + "{message} {extra[_line]}\n"
    )


def configure_log(*, level: str, **common: Any) -> None:
    """Write all log lines to standard output without blocking.

    Args:
        level: The lowest level that is written, for example ``INFO``.
        **common: Pairs that are added to every line, for example the instance's address.
    """
    logger.remove()
    logger.configure(extra=common)
    logger.add(
        BoundedSink(stream=sys.stdout),
        level=level,
        format=_format_record,
        backtrace=False,
        diagnose=False,
    )


def log_event(event: str, *, level: str = "INFO", **fields: Any) -> None:
    """Log one event.

    Args:
        event: A fixed name that operators search for, for example ``config-in-force``.
        level: The level.
        **fields: The pairs of this line.
    """
    # `depth=1` attributes the line to the calling module, by which loguru filters lines.
    logger.opt(depth=1).bind(**fields).log(level, event)
