"""Opens TCP connections from this instance to backend servers."""

import socket
from typing import Final, NamedTuple

import trio

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.placement.distances import Distances
from wagtailpoint.ports.backend import BackendAddress, FailureReason
from wagtailpoint.proxy.backend_connection import ExchangeFailed
from wagtailpoint.relay.marked_end import RelayedStream
from wagtailpoint.relay.reachability import Reachability
from wagtailpoint.tcp_options import set_liveness_options
from wagtailpoint.verdict import Verdict

CONNECT_TIMEOUT_SLACK_S: Final = 0.2
CONNECT_TIMEOUT_ROUND_TRIPS: Final = 2.0
"""The timeout for opening a connection is this number of round trips plus the slack, which allows
for a host that gets no processor time for 0.1 s. A host without power never answers, and a lost
packet is retransmitted only after 1 s, too late for most requests: another backend server is tried
instead."""


class OpenedStream(NamedTuple):
    """A connection that leads to a backend server.

    Attributes:
        stream: The connection.
        relay: The instance that relays it and its number there, ``ADDRESS#NUMBER``; empty for a
            direct connection.
        leaves_region: Whether that instance is in another region than the backend server.
    """

    stream: trio.SocketStream | RelayedStream
    relay: str = ""
    leaves_region: bool = False


class BackendDialer:
    """Opens direct connections to backend servers, and records which of them can be reached."""

    def __init__(
        self, *, distances: Distances, reachability: Reachability, metrics: Metrics
    ) -> None:
        """Initialise the dialer.

        Args:
            distances: Gives the round trip times for timeouts, and receives measured ones.
            reachability: Receives the failures.
            metrics: Counts opened connections by purpose.
        """
        self._distances = distances
        self._reachability = reachability
        self._metrics = metrics

    async def dial(self, entry: ServerEntry, purpose: str) -> trio.SocketStream:
        """Open a connection to a backend server.

        Raises:
            ExchangeFailed: The backend server refused the connection or can't be reached.
        """
        self._metrics.count(f"connection.opened.{purpose}")
        try:
            return await self._connect(entry)
        except ExchangeFailed:
            self._reachability.record_failure(entry.start)
            raise

    async def _connect(self, entry: ServerEntry) -> trio.SocketStream:
        round_trip_s = self._distances.round_trip_s(entry.failure_domain)
        began = trio.current_time()
        try:
            with trio.move_on_after(connect_timeout_s(round_trip_s)):
                stream = await open_stream(entry.address)
                took_s = trio.current_time() - began
                self._distances.record_connect_time(entry.failure_domain, took_s)
                return stream
        except ConnectionRefusedError as error:
            raise ExchangeFailed(Verdict.NOT_RUN, FailureReason.CONNECT_REFUSED) from error
        except OSError as error:
            reason = FailureReason.CONNECT_FAILED
            raise ExchangeFailed(Verdict.NOT_RUN, reason, str(error)) from error
        raise ExchangeFailed(Verdict.NOT_RUN, FailureReason.CONNECT_TIMEOUT)


def connect_timeout_s(round_trip_s: float) -> float:
    """Return the timeout for opening a connection over a path with a round trip time."""
    return CONNECT_TIMEOUT_SLACK_S + CONNECT_TIMEOUT_ROUND_TRIPS * round_trip_s


async def open_stream(address: BackendAddress, *, source: str | None = None) -> trio.SocketStream:
    """Open a TCP connection that ends soon after its path is lost.

    Args:
        address: The address to connect to.
        source: The local IP address; None for any.

    Raises:
        OSError: The connection was refused or can't be opened.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        if source is not None:
            await sock.bind((source, 0))
        set_liveness_options(sock)
        await sock.connect((address.address, address.port))
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)
