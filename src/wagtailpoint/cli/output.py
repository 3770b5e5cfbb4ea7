"""Formats the output of commands: text and tables for people, JSON for scripts."""

import json
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from typing import Any, NamedTuple

from wagtailpoint.cli.exit_codes import ExitCode
from wagtailpoint.config.manifest import ChangeInfo


class Report(NamedTuple):
    """The outcome of a command.

    Attributes:
        text: Output for people.
        data: Output for ``--json``.
        exit_code: Other than ``OK`` if the command ran but did not fully reach its goal, for
            example because ``--wait`` timed out.
    """

    text: str
    data: Any
    exit_code: ExitCode = ExitCode.OK


def format_json(value: Any) -> str:
    """Format a value as indented JSON."""
    return json.dumps(value, indent=2, ensure_ascii=False)


def format_table(headers: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Format rows as a table whose columns are as wide as their widest cell."""
    cells = [list(headers), *([format_cell(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]
    return "\n".join(lines)


def format_cell(value: Any) -> str:
    """Format one value as a table cell; None becomes ``-``."""
    if value is None:
        return "-"
    if isinstance(value, str):
        return value
    return json.dumps(value, ensure_ascii=False)


def format_time(time_s: float) -> str:
    """Format seconds since the Unix epoch as a date and time in UTC."""
    return datetime.fromtimestamp(time_s, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def format_change(change: ChangeInfo) -> str:
    """Format one change as a single line."""
    reason = f": {change.message}" if change.message else ""
    return f"version {change.version} by {change.author} at {format_time(change.time_s)}{reason}"


def change_data(change: ChangeInfo) -> dict[str, Any]:
    """Convert one change to a JSON object."""
    return change._asdict()


def format_sections(sections: Mapping[str, Any]) -> str:
    """Format JSON of unknown structure.

    A list of objects becomes a table, an object a table of its fields, any other value one line.
    """
    return "\n\n".join(_format_section(name, value) for name, value in sections.items())


def _format_section(name: str, value: Any) -> str:
    if isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        headers = list(dict.fromkeys(key for item in value for key in item))
        rows = [[item.get(header) for header in headers] for item in value]
        return f"{name}:\n{format_table(headers, rows)}"
    if isinstance(value, dict) and value:
        rows = [[key, item] for key, item in value.items()]
        return f"{name}:\n{format_table(['field', 'value'], rows)}"
    return f"{name}: {format_cell(value)}"
