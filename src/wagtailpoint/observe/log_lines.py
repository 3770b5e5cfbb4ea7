"""Parses log lines: one line of key=value pairs per event."""

import re
from collections.abc import Iterable, Iterator, Mapping

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


def read_log_lines(lines: Iterable[str]) -> Iterator[Mapping[str, str]]:
    """Yield the pairs of each line that has an event; skip all other lines.

    Text before the first pair, such as the prefix of a log collector, is ignored.
    """
    for line in lines:
        pairs = {name: _unquote(value) for name, value in _PAIR.findall(line)}
        if "event" in pairs:
            yield pairs


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    return re.sub(r"\\(.)", r"\1", value[1:-1])
