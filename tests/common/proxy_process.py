"""Runs the fault-injecting proxy as a process, for tests that block."""

import json
import socket
from typing import Any

from tests.common.platform_process import fresh_address
from tests.common.processes import LIMIT_S, ModuleProcess
from tests.common.raw_caller import Place

PORT = 9100
CONTROL_PORT = 9101


class ProxyProcess(ModuleProcess):
    """Runs ``tests.common.fault_proxy`` with one route, on an unused address."""

    def __init__(self, *, target: Place) -> None:
        address = fresh_address()
        self.listens_on = (address, PORT)
        self._control = (address, CONTROL_PORT)
        route = f"{address}:{PORT}={target[0]}:{target[1]}"
        super().__init__(
            module="tests.common.fault_proxy",
            arguments=["--route", route, "--control", f"{address}:{CONTROL_PORT}"],
            address=address,
            port=CONTROL_PORT,
        )

    def order(self, command: dict[str, Any]) -> None:
        """Set a fault, see ``fault_proxy.Command``; return when it is in effect."""
        with socket.create_connection(self._control, timeout=LIMIT_S) as stream:
            stream.sendall(json.dumps(command).encode() + b"\n")
            answer = json.loads(stream.makefile().readline())
        if not answer["ok"]:
            raise RuntimeError(f"{command}: {answer}")
