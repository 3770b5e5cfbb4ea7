"""Relays connections of other instances to backend servers."""

from collections import Counter
from collections.abc import Callable, Collection, Iterable
from http import HTTPStatus
from typing import Any, Final

import trio

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.membership.member import Member
from wagtailpoint.node_settings import Endpoint
from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.ports.backend import FailureReason
from wagtailpoint.proxy.backend_connection import ExchangeFailed
from wagtailpoint.proxy.backend_dialer import BackendDialer
from wagtailpoint.relay.pipe import Pipe
from wagtailpoint.relay.protocol import (
    InvalidOpening,
    RelayRequest,
    encode_answer,
    read_request,
)
from wagtailpoint.tcp_options import set_liveness_options

OPENING_TIMEOUT_S: Final = 1.0
"""Maximum time from the opening of a connection to the end of its request."""

BACKLOG: Final = 256


class RelayServer:
    """Accepts connections of other instances and relays each to one registered backend server."""

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        find_server: Callable[[str], ServerEntry | None],
        members: Callable[[], Iterable[Member]],
        dialer: BackendDialer,
        is_available: Callable[[], bool],
        backoff_s: Callable[[str], float],
        max_connections: int,
        metrics: Metrics,
    ) -> None:
        """Initialise a server that does not listen yet.

        Args:
            endpoint: The listening address.
            find_server: Returns the registered backend server with an id.
            members: Returns the instances, which are the only ones to use the relay.
            dialer: Opens the connections to backend servers.
            is_available: Whether this instance relays now.
            backoff_s: Returns for how many seconds a start of a backend server wants no requests
                from this instance.
            max_connections: Maximum number of relayed connections, so that work for others leaves
                room for the callers of this instance.
            metrics: Counts connections by result.
        """
        self._endpoint = endpoint
        self._find_server = find_server
        self._members = members
        self._dialer = dialer
        self._is_available = is_available
        self._backoff_s = backoff_s
        self._max_connections = max_connections
        self._metrics = metrics
        self._open = 0
        self._users: dict[str, Counter[str]] = {}
        self._last_number = 0
        self._idle = trio.Event()

    @property
    def open_connections(self) -> int:
        """The number of relayed connections."""
        return self._open

    def users(self, server: str) -> Collection[str]:
        """Return who has a relayed connection to a start of a server, by addresses."""
        return tuple(self._users.get(server, ()))

    async def wait_idle(self) -> None:
        """Wait until no connection is relayed."""
        while self._open:
            self._idle = trio.Event()
            await self._idle.wait()

    async def run(self, *, task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED) -> None:
        """Relay connections until cancelled."""
        listeners = await trio.open_tcp_listeners(
            self._endpoint.port, host=self._endpoint.address, backlog=BACKLOG
        )
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, near: trio.SocketStream) -> None:
        peer = ""
        try:
            peer = near.socket.getpeername()[0]
            set_liveness_options(near.socket)
            await self._open_and_relay(near, peer)
        except (InvalidOpening, trio.BrokenResourceError, OSError) as error:
            self._metrics.count("relay.invalid")
            log_event("relay-invalid", level="WARNING", peer=peer, error=error)
        except Exception as error:  # noqa: BLE001 - one connection's error must not end the others
            log_event("internal-error", level="ERROR", where="relay", error=repr(error))
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(near)

    async def _open_and_relay(self, near: trio.SocketStream, peer: str) -> None:
        with trio.move_on_after(OPENING_TIMEOUT_S) as scope:
            opening = await read_request(near)
        if scope.cancelled_caught:
            raise InvalidOpening(f"no request within {OPENING_TIMEOUT_S} s")
        if opening is None:
            return
        request, early_bytes = opening
        entry = self._find_server(request.server_id)
        refusal = self._refusal(request, peer, entry)
        if refusal is not None or entry is None:
            await self._refuse(near, peer, request, refusal or HTTPStatus.NOT_FOUND)
            return
        # Counted before the backoff is looked at, so that a later one is told to the peer.
        self._record_opening(entry, peer)
        try:
            backoff_s = self._backoff_s(entry.start.key)
            if backoff_s:
                refusal = HTTPStatus.TOO_MANY_REQUESTS
                await self._refuse(near, peer, request, refusal, backoff_s)
            else:
                await self._relay(near, peer, request, entry, early_bytes)
        finally:
            self._record_end(entry, peer)

    def _record_opening(self, entry: ServerEntry, peer: str) -> None:
        self._open += 1
        self._users.setdefault(entry.start.key, Counter())[peer] += 1

    def _record_end(self, entry: ServerEntry, peer: str) -> None:
        self._open -= 1
        if not self._open:
            self._idle.set()
        users = self._users[entry.start.key]
        users[peer] -= 1
        if not users[peer]:
            del users[peer]
        if not users:
            del self._users[entry.start.key]

    def _refusal(
        self, request: RelayRequest, peer: str, entry: ServerEntry | None
    ) -> HTTPStatus | None:
        """Return the status by which a request is refused; None if the connection is opened."""
        is_known = any(
            member.address == peer
            and member.incarnation == request.sender
            and member.state != "dead"
            for member in self._members()
        )
        if not is_known:
            return HTTPStatus.FORBIDDEN
        if entry is None or entry.address != request.address:
            return HTTPStatus.NOT_FOUND
        if not self._is_available() or self._open >= self._max_connections:
            return HTTPStatus.SERVICE_UNAVAILABLE
        return None

    async def _relay(
        self,
        near: trio.SocketStream,
        peer: str,
        request: RelayRequest,
        entry: ServerEntry,
        early_bytes: bytes,
    ) -> None:
        try:
            far = await self._dialer.dial(entry, "relay")
        except ExchangeFailed as error:
            refused = error.reason is FailureReason.CONNECT_REFUSED
            status = HTTPStatus.BAD_GATEWAY if refused else HTTPStatus.GATEWAY_TIMEOUT
            await self._refuse(near, peer, request, status)
            return
        self._last_number += 1
        number = self._last_number
        began = trio.current_time()
        log_event("relay-begins", number=number, peer=peer, server=entry.server_id)
        self._metrics.count("relay.opened")
        try:
            await near.send_all(
                encode_answer(HTTPStatus.OK, number, has_frames=request.wants_frames)
            )
        except trio.BrokenResourceError:
            await trio.aclose_forcefully(far)
            raise
        pipe = Pipe(near=near, far=far, has_frames=request.wants_frames)
        result = await pipe.run(early_bytes)
        log_event(
            "relay-ends",
            number=number,
            peer=peer,
            server=entry.server_id,
            ended_by=result.ended_by,
            sent_bytes=result.sent_bytes,
            received_bytes=result.received_bytes,
            seconds=round(trio.current_time() - began, 2),
        )

    async def _refuse(
        self,
        near: trio.SocketStream,
        peer: str,
        request: RelayRequest,
        status: HTTPStatus,
        backoff_s: float = 0.0,
    ) -> None:
        self._metrics.count(f"relay.refused.{status.value}")
        log_event("relay-refused", peer=peer, server=request.server_id, status=status.value)
        await near.send_all(encode_answer(status, backoff_s=backoff_s))
