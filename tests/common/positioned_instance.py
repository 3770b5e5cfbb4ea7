"""Runs an instance that connects from its own address and can be cut off; see ``partition``.

On the users' machines each instance has an address of its own. On the machine of a test all
connections to loopback addresses would come from 127.0.0.1.
"""

import errno
import os
import socket
from pathlib import Path
from typing import Any, Final

import msgspec

from tests.common.partition import OWN_ADDRESS_VARIABLE, RULES_FILE_VARIABLE, ConnectionRules
from wagtailpoint.daemon.main import main

_connect: Final = socket.socket.connect
_own_address: Final = os.environ[OWN_ADDRESS_VARIABLE]
_rules_file: Final = Path(os.environ[RULES_FILE_VARIABLE])


def connect(sock: socket.socket, address: Any) -> None:
    """Connect from the instance's own address, subject to the rules."""
    if sock.family == socket.AF_INET and sock.type == socket.SOCK_STREAM:
        rules = msgspec.json.decode(_rules_file.read_bytes(), type=ConnectionRules)
        if address[0] in rules["refused"]:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "refused by the test")
        if sock.getsockname()[1] == 0:
            sock.bind((_own_address, 0))
        if address[0] in rules["hanging"]:
            address = tuple(rules["blackhole"])
    _connect(sock, address)


if __name__ == "__main__":
    socket.socket.connect = connect  # type: ignore[method-assign, assignment]
    main()
