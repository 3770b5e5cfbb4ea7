"""The settings file while the process runs: read again when it changes."""

import signal
from collections.abc import Callable
from pathlib import Path
from typing import Final

import trio
from result import Err, Result

from wagtailpoint.errors import InvalidInput
from wagtailpoint.node_settings import NodeSettings, ServiceBounds
from wagtailpoint.observe.log import log_event

POLL_INTERVAL_S: Final = 2.0
"""How often the file is compared with what was read last: it may change without any signal."""

RELOADABLE_FIELDS: Final = frozenset(("bounds",))
"""The fields that hold at once; the others (addresses, places) hold from the next start."""


class SettingsFile:
    """Follows the settings file, and holds the newest bounds."""

    def __init__(
        self,
        *,
        path: Path,
        settings: NodeSettings,
        read: Callable[[Path], Result[NodeSettings, InvalidInput]],
    ) -> None:
        """Make it with what was read at the start.

        Args:
            path: The file.
            settings: What it said at the start.
            read: Reads it.
        """
        self._path = path
        self._settings = settings
        self._read = read
        self._last_mistakes = ""

    @property
    def bounds(self) -> ServiceBounds:
        """What the operators demand now."""
        return self._settings.bounds

    async def run(self) -> None:
        """Read the file again on SIGHUP and when it changed, until cancelled."""
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            while True:
                signalled = False
                with trio.move_on_after(POLL_INTERVAL_S):
                    await anext(signals)
                    signalled = True
                self.reload(signalled=signalled)

    def reload(self, *, signalled: bool) -> None:
        """Read the file; a wrong one changes nothing.

        Args:
            signalled: Whether SIGHUP asked for it; then it is logged also if nothing changed.
        """
        read = self._read(self._path)
        if isinstance(read, Err):
            mistakes = str(read.err_value)
            if signalled or mistakes != self._last_mistakes:
                log_event("reload-refused", level="ERROR", error=mistakes)
            self._last_mistakes = mistakes
            return
        self._last_mistakes = ""
        previous, self._settings = self._settings, read.ok_value
        changed = [
            name
            for name in NodeSettings._fields
            if getattr(previous, name) != getattr(self._settings, name)
        ]
        if changed or signalled:
            deferred = [name for name in changed if name not in RELOADABLE_FIELDS]
            log_event("reload", changed=",".join(changed), from_next_start=",".join(deferred))
