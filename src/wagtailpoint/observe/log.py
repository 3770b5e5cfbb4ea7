"""Logs: one line of key=value pairs for each event."""

import sys
from typing import Any

from loguru import logger


def _quoted(value: Any) -> str:
    text = str(value)
    if text and all(character not in text for character in ' "=\n'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'


def _format(record: Any) -> str:
    pairs = " ".join(f"{name}={_quoted(value)}" for name, value in record["extra"].items())
    record["extra"]["_line"] = pairs
    return "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} event={message} {extra[_line]}\n"


def configure_log(*, level: str, **common: Any) -> None:
    """Send all log lines to the standard error stream.

    Args:
        level: The lowest level that is written, for example ``INFO``.
        **common: Pairs that every line carries, for example the instance's address.
    """
    logger.remove()
    logger.configure(extra=common)
    logger.add(sys.stderr, level=level, format=_format, backtrace=False, diagnose=False)


def log_event(event: str, *, level: str = "INFO", **fields: Any) -> None:
    """Write one event.

    Args:
        event: A fixed name, for example ``config-in-force``; operators search for it.
        level: The level.
        **fields: What is particular to this event.
    """
    logger.bind(**fields).log(level, event)
