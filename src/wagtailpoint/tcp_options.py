"""TCP options by which a connection ends soon after its path is lost."""

import socket
from collections.abc import Sequence
from typing import Final

import trio

LIVENESS_TIMEOUT_S: Final = 3
"""Seconds after which the kernel closes a connection whose peer acknowledges nothing."""

_KEEPALIVE_IDLE_S: Final = 1
_KEEPALIVE_INTERVAL_S: Final = 1

LIVENESS_OPTIONS: Final[Sequence[tuple[int, int, int]]] = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, LIVENESS_TIMEOUT_S - _KEEPALIVE_IDLE_S),
    # Also decides when keep-alive probes give up, whatever their number.
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 1000 * LIVENESS_TIMEOUT_S),
)


def set_liveness_options(sock: trio.socket.SocketType) -> None:
    """Set ``LIVENESS_OPTIONS`` on a socket.

    Raises:
        OSError: The socket is closed.
    """
    for level, option, value in LIVENESS_OPTIONS:
        sock.setsockopt(level, option, value)
