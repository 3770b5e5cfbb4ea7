"""The server that accepts callers' connections on one address."""

from collections.abc import Callable
from functools import partial
from typing import Any

import trio

from wagtailpoint.node_settings import Endpoint
from wagtailpoint.observe.log import log_event
from wagtailpoint.proxy.caller_connection import CallerConnection, RequestHandler
from wagtailpoint.routing.table import CallerBounds

BACKLOG = 1024


class CallerServer:
    """Accepts callers' connections on one listening address, up to a maximum number."""

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        handler: RequestHandler,
        bounds: Callable[[], CallerBounds],
        is_leaving: Callable[[], bool],
        max_connections: int,
    ) -> None:
        """Initialise a server that does not listen yet.

        Args:
            endpoint: The listening address.
            handler: Serves one request.
            bounds: Returns the limits on callers' requests.
            is_leaving: Returns whether the instance is stopping, so that callers should not use
                their connections for further requests.
            max_connections: Maximum number of open connections. A new connection beyond that
                replaces an idle one, or is closed if there is none.
        """
        self._endpoint = endpoint
        self._handler = handler
        self._bounds = bounds
        self._is_leaving = is_leaving
        self._max_connections = max_connections
        self._connections: set[CallerConnection] = set()
        self._accepting = trio.CancelScope()
        self._all_closed = trio.Event()

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    def close_idle(self) -> None:
        """Close all connections, each as soon as it is idle."""
        for connection in list(self._connections):
            connection.close_when_idle()

    def stop_accepting(self) -> None:
        """Close the listening socket and all connections, each as soon as it is idle."""
        self._accepting.cancel()
        self.close_idle()

    async def wait_closed(self) -> None:
        """Wait until no connection is open."""
        while self._connections:
            self._all_closed = trio.Event()
            await self._all_closed.wait()

    async def run(self, *, task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve connections until ``stop_accepting`` was called and the last one has ended."""
        listeners = await trio.open_tcp_listeners(
            self._endpoint.port, host=self._endpoint.address, backlog=BACKLOG
        )
        async with trio.open_nursery() as nursery:
            task_status.started()
            with self._accepting:
                await trio.serve_listeners(
                    partial(self._serve_connection), listeners, handler_nursery=nursery
                )

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        if len(self._connections) >= self._max_connections and not self._make_room():
            log_event("connection-refused", level="WARNING", open=len(self._connections))
            await trio.aclose_forcefully(stream)
            return
        connection = CallerConnection(
            stream=stream,
            handler=self._handler,
            bounds=self._bounds,
            is_leaving=self._is_leaving,
        )
        self._connections.add(connection)
        if self._accepting.cancel_called:
            connection.close_when_idle()
        try:
            await connection.run()
        except Exception as error:  # noqa: BLE001 - one connection's error must not end the others
            log_event("internal-error", level="ERROR", where="connection", error=repr(error))
        finally:
            self._connections.discard(connection)
            if not self._connections:
                self._all_closed.set()

    def _make_room(self) -> bool:
        idle = next((connection for connection in self._connections if connection.is_idle), None)
        if idle is None:
            return False
        idle.close_when_idle()
        return True
