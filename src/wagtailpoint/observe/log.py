"""Logs: one line of key=value pairs for each event."""

import re
import sys
from typing import Any

from loguru import logger

from wagtailpoint.observe.bounded_sink import BoundedSink

_UNQUOTED_VALUE = re.compile(r"[!#-<>-~]+")
"""Values that need no quotes: printable ASCII without space, quote and equals sign."""


def _quote(value: Any) -> str:
    text = str(value)
    if _UNQUOTED_VALUE.fullmatch(text):
        return text
    # Whoever could put a line break into a value could forge a line of the log.
    escaped = "".join(
        character if character.isprintable() else character.encode("unicode_escape").decode()
        for character in text.replace("\\", "\\\\").replace('"', '\\"')
    )
    return f'"{escaped}"'


def _format_record(record: Any) -> str:
    pairs = " ".join(f"{name}={_quote(value)}" for name, value in record["extra"].items())
    record["extra"]["_line"] = pairs
    # A line that was written without `log_event` may have its event in the message.
    event = "" if record["message"].startswith("event=") else "event="
    return (
        "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} " + event + "{message} {extra[_line]}\n"
    )


def configure_log(*, level: str, **common: Any) -> None:
    """Send all log lines to the standard output stream, without ever waiting for it.

    Args:
        level: The lowest level that is written, for example ``INFO``.
        **common: Pairs that every line carries, for example the instance's address.
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
    """Write one event.

    Args:
        event: A fixed name, for example ``config-in-force``; operators search for it.
        level: The level.
        **fields: What is particular to this event.
    """
    # `depth`: the line belongs to the caller's module, by which loguru can silence lines.
    logger.opt(depth=1).bind(**fields).log(level, event)
