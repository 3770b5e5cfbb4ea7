"""What a command prints: a table or text for people, one JSON document for scripts."""

import json
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from typing import Any, NamedTuple

from wagtailpoint.cli.exit_codes import ExitCode
from wagtailpoint.config.manifest import ChangeInfo


class Report(NamedTuple):
    """The outcome of a command.

    Attributes:
        text: For people.
        data: For ``--json``.
        exit_code: Not ``OK`` when the command did its work and something is still amiss.
    """

    text: str
    data: Any
    exit_code: ExitCode = ExitCode.OK


def format_json(value: Any) -> str:
    """Write JSON for people and scripts alike."""
    return json.dumps(value, indent=2, ensure_ascii=False)


def format_table(headers: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Write rows in columns as wide as their widest cell."""
    cells = [list(headers), *([format_cell(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]
    return "\n".join(lines)


def format_cell(value: Any) -> str:
    """Write one value in a table's cell."""
    if value is None:
        return "-"
    if isinstance(value, str):
        return value
    return json.dumps(value, ensure_ascii=False)


def format_time(time_s: float) -> str:
    """Write seconds since the epoch as a date and time in UTC."""
    return datetime.fromtimestamp(time_s, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def format_change(change: ChangeInfo) -> str:
    """Write one change in a line."""
    reason = f": {change.message}" if change.message else ""
    return f"version {change.version} by {change.author} at {format_time(change.time_s)}{reason}"


def change_data(change: ChangeInfo) -> dict[str, Any]:
    """One change as JSON."""
    return change._asdict()


def format_sections(sections: Mapping[str, Any]) -> str:
    """Write JSON of unknown shape: lists of objects as tables, objects as lines, or a value."""
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
