"""A nose2 plugin that lets the tests in KNOWN-RED.txt fail; any other failure fails the run.

A test that shows a real fault may be merged before the fault is fixed, but only if it is listed.
The plugin prints the entry of each listed test that fails, so that the list stays visible, and
fails the run when a listed test passes, so that the list stays current. It also prints a summary.
"""

from pathlib import Path
from typing import Any

from nose2.events import Plugin

KNOWN_RED_FILE = Path(__file__).parents[2] / "KNOWN-RED.txt"
MOST_ENTRIES = 3


def read_known_red() -> dict[str, str]:
    """Read the listed tests.

    Returns:
        The whole line of each entry by test id.

    Raises:
        ValueError: More tests are listed than allowed.
    """
    lines = KNOWN_RED_FILE.read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    if len(entries) > MOST_ENTRIES:
        raise ValueError(f"KNOWN-RED.txt lists {len(entries)} tests; {MOST_ENTRIES} at most")
    return {entry.split("|")[0].strip(): entry for entry in entries}


class KnownRed(Plugin):  # type: ignore[misc]
    """Counts the results and lets only the listed tests fail."""

    configSection = "known-red"  # noqa: N815 - the name that nose2 reads

    def __init__(self) -> None:
        self._known = read_known_red()
        self._passed = 0
        self._failed = 0
        self._skipped = 0
        self._known_failed = 0
        self._unexpected_passes: list[str] = []

    def setTestOutcome(self, event: Any) -> None:  # noqa: N802 - nose2's name
        """Turn the failure of a listed test into an expected one."""
        listed = event.test.id() in self._known
        if listed and event.outcome in ("failed", "error"):
            event.outcome, event.expected = "failed", True
            self._known_failed += 1
            print(f"known red: {self._known[event.test.id()]}")
        elif event.outcome == "passed":
            self._passed += 1
            if listed:
                event.expected = False
                self._unexpected_passes.append(event.test.id())
        elif event.outcome == "skipped":
            self._skipped += 1
        elif event.outcome == "subtest":
            # Reported for passed subtests too; only a failed one has an exception.
            self._failed += event.exc_info is not None
        else:
            self._failed += 1

    def wasSuccessful(self, event: Any) -> None:  # noqa: N802 - nose2's name
        """Fail the run if a listed test has passed, which nose2 would let pass."""
        if self._unexpected_passes:
            event.success = False
            event.handled = True

    def afterSummaryReport(self, event: Any) -> None:  # noqa: N802 - nose2's name
        """Print unexpected passes and the summary line."""
        for test in self._unexpected_passes:
            print(f"{test} passes: take it out of KNOWN-RED.txt")
        print(f"{self._passed} passed, {self._failed} failed, {self._skipped} skipped")
