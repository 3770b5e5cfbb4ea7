"""The record of a case: what was sent, answered and run, one line for each event."""

import time
from pathlib import Path


class Record:
    """Writes the record."""

    def __init__(self, path: Path) -> None:
        self._began = time.monotonic()
        self._file = path.open("w")

    def add(self, event: str, **fields: object) -> None:
        """Add a line with the time since the begin."""
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self._began:8.3f} {event} {pairs}\n")
        self._file.flush()
