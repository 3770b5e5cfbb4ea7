"""An instance of a soak."""

import json
import os
import signal
from collections.abc import Mapping
from pathlib import Path
from typing import Final

import trio
from tests.common.fault_proxy import FaultProxy
from tests.common.processes import ModuleProcess

COLD_SLACKS: Final = (5, 6)
"""The values between which a change of the settings file alternates."""


class Instance:
    """An instance: an address with a process, which reaches the store through a separate proxy."""

    def __init__(
        self,
        *,
        number: int,
        address: str,
        file: Path,
        proxy: FaultProxy,
        environment: Mapping[str, str],
    ) -> None:
        """Initialise an instance without a process.

        Args:
            number: Its number.
            address: Its address.
            file: Its settings file.
            proxy: The proxy through which it reaches the store.
            environment: Environment variables of its processes.
        """
        self.number = number
        self.address = address
        self.proxy = proxy
        self.processes = 0
        self._logged_before = 0
        self.lock = trio.Lock()
        self._file = file
        self.process = ModuleProcess(
            module="tests.common.positioned_instance",
            environment={"WAGTAILPOINT_NODE_FILE": str(file), **environment},
        )

    @property
    def has_started(self) -> bool:
        """Whether the current process has logged that it started."""
        return "event=started " in self.process.log[self._logged_before :]

    def start(self) -> None:
        """Start a process at the address of the instance."""
        self.processes += 1
        self._logged_before = len(self.process.log)
        self.process.start()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the current process."""
        os.kill(self.process.pid, number)

    def change_settings(self) -> None:
        """Change a bound in the settings file that does not affect what the soak checks."""
        document = json.loads(self._file.read_text())
        bounds = document["Terms"]["Bounds"]
        bounds["ColdSlack"] = COLD_SLACKS[bounds["ColdSlack"] == COLD_SLACKS[0]]
        written = self._file.with_suffix(".new")
        written.write_text(json.dumps(document))
        written.rename(self._file)
