"""The platform stand-in as a process of a test, with methods to control its faults."""

import random
from collections.abc import Sequence
from typing import Any

import httpcore
import msgspec

from tests.common.processes import ModuleProcess
from wagtailpoint.ports.platform import ListedInstance

PORT = 9000
_RANDOM = random.SystemRandom()


def fresh_address() -> str:
    """Return a random loopback address, so that fixed ports of tests don't collide."""
    return "127." + ".".join(str(_RANDOM.randint(1, 250)) for _ in range(3))


class PlatformProcess(ModuleProcess):
    """Runs ``tests.common.platform_standin`` on a random loopback address."""

    def __init__(self, *arguments: str) -> None:
        address = fresh_address()
        self.listens_on = (address, PORT)
        super().__init__(
            module="tests.common.platform_standin",
            arguments=["--address", address, "--port", str(PORT), *arguments],
            address=address,
            port=PORT,
        )

    def set_mode(self, **modes: Any) -> None:
        """Switch faults on or off; see ``platform_standin.Modes``."""
        self._control("POST", "mode", modes)

    def set_instances(self, listed: Sequence[ListedInstance]) -> None:
        """Set the list of instances."""
        self._control("PUT", "instances", [instance._asdict() for instance in listed])

    def counts(self) -> Any:
        """Return the calls so far: ``{"calls": {KIND: {METHOD: COUNT}}, "refused", "total"}``."""
        return self._control("GET", "counts", None)

    def _control(self, method: str, path: str, value: Any) -> Any:
        url = f"http://{self.listens_on[0]}:{PORT}/standin/{path}"
        answer = httpcore.request(method, url, content=msgspec.json.encode(value))
        return msgspec.json.decode(answer.content)
