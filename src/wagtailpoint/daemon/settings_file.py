"""Reloads the settings file of a running instance when the file changes."""

import signal
from collections.abc import Callable
from pathlib import Path
from typing import Final

import trio
from result import Err, Result

from wagtailpoint.errors import InvalidInput
from wagtailpoint.node_settings import NodeSettings, ServiceBounds
from wagtailpoint.observe.log import log_event
from wagtailpoint.placement.cold_pacing import ColdBound
from wagtailpoint.proxy.shared_retry_budget import RetryBound

POLL_INTERVAL_S: Final = 2.0
"""The file may change without a signal, so it is also polled."""

RELOADABLE_FIELDS: Final = frozenset(("bounds",))
"""The fields that apply at once; the others (addresses, places) apply from the next start."""


class SettingsFile:
    """Follows the settings file and provides the newest bounds."""

    def __init__(
        self,
        *,
        path: Path,
        settings: NodeSettings,
        read: Callable[[Path], Result[NodeSettings, InvalidInput]],
    ) -> None:
        """Initialise with the settings that were read at the start.

        Args:
            path: Path of the settings file.
            settings: The settings that were read at the start.
            read: Reads and checks a settings file.
        """
        self._path = path
        self._settings = settings
        self._read = read
        self._last_mistakes = ""

    @property
    def bounds(self) -> ServiceBounds:
        """The operators' bounds that are in force."""
        return self._settings.bounds

    def cold_bound(self) -> ColdBound:
        """Return the bound on requests to cold backend servers."""
        return ColdBound(self.bounds.cold_overage, self.bounds.cold_slack)

    def retry_bound(self) -> RetryBound:
        """Return the bound on repeated sends."""
        return RetryBound(self.bounds.retry_ratio, self.bounds.retry_slack)

    async def run(self) -> None:
        """Reload the file on SIGHUP and periodically, until cancelled."""
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            while True:
                signalled = False
                with trio.move_on_after(POLL_INTERVAL_S):
                    await anext(signals)
                    signalled = True
                self.reload(signalled=signalled)

    def reload(self, *, signalled: bool) -> None:
        """Read the file; keep the settings in force if it is invalid.

        Args:
            signalled: Whether SIGHUP requested it; the result is then always logged.
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
