"""Stand-in backend servers that state how many requests a second they take."""

from collections.abc import Mapping, Sequence
from functools import partial
from itertools import count
from typing import NamedTuple

import trio

from tests.common.node_settings_file import server_document
from tests.common.scripted_server import ScriptedStream, response
from tests.common.sockets import loopback_address, reset_connection
from tests.common.users_store import UsersStore

SHED = "503 Service Unavailable"


class Arrival(NamedTuple):
    """A request that reached a backend server.

    Attributes:
        time_s: When its head was read, by trio's clock.
        server_id: The id of the backend server.
        request_id: The id that the caller gave it.
    """

    time_s: float
    server_id: str
    request_id: str


class LimitedServers:
    """Backend servers of the service ``desk`` whose answers state a limit.

    Attributes:
        arrivals: All requests that arrived, in chronological order.
        stated: The values of the header that states a limit, one header each; empty for none.
        sheds: Whether requests are refused without being run.
        runs_s: The time from the arrival of a request to its answer, in seconds.
    """

    def __init__(self, *, store: UsersStore, header: str, runs_s: float) -> None:
        """Initialise without starting any backend server.

        Args:
            store: Store in which the backend servers are registered.
            header: The name of the header that states a limit.
            runs_s: The time from the arrival of a request to its answer, in seconds.
        """
        self.arrivals: list[Arrival] = []
        self.stated: Sequence[str] = ()
        self.sheds = False
        self.runs_s = runs_s
        self._store = store
        self._header = header
        self._numbers = count(1)
        self._running: dict[str, trio.CancelScope] = {}

    @property
    def server_ids(self) -> Sequence[str]:
        """The ids of the backend servers that run."""
        return tuple(self._running)

    def most_in_window(self, window_s: float, *, after: float) -> Mapping[str, int]:
        """Return the highest number of arrivals in any window that begins after a time, by id."""
        most: dict[str, int] = {}
        for server_id in {arrival.server_id for arrival in self.arrivals}:
            times = [
                arrival.time_s
                for arrival in self.arrivals
                if arrival.server_id == server_id and arrival.time_s > after
            ]
            most[server_id] = max(
                (sum(begin <= time < begin + window_s for time in times) for begin in times),
                default=0,
            )
        return most

    def restart_all(self) -> None:
        """Crash all backend servers; each starts again under a new id."""
        for scope in self._running.values():
            scope.cancel()

    async def run(self, servers: int) -> None:
        """Run a number of backend servers until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(servers):
                nursery.start_soon(self._run_one)

    async def _run_one(self) -> None:
        address, port = loopback_address(), 0
        while True:
            listeners = await trio.open_tcp_listeners(port, host=address)
            port = listeners[0].socket.getsockname()[1]
            server_id = f"i-{next(self._numbers)}"
            self._store.put("servers", server_id, server_document(f"{address}:{port}"))
            with trio.CancelScope() as scope:
                self._running[server_id] = scope
                await trio.serve_listeners(partial(self._serve, server_id), listeners)
            del self._running[server_id]
            for listener in listeners:
                await listener.aclose()
            self._store.delete("servers", server_id)

    async def _serve(self, server_id: str, stream: trio.SocketStream) -> None:
        try:
            await self._answer_all(ScriptedStream(stream=stream), server_id)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            with trio.CancelScope(shield=True):
                await reset_connection(stream)

    async def _answer_all(self, stream: ScriptedStream, server_id: str) -> None:
        while request := await stream.request():
            head = request.partition(b"\r\n\r\n")[0].decode()
            fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:])
            request_id = fields["x-attempt-id"]
            self.arrivals.append(Arrival(trio.current_time(), server_id, request_id))
            await trio.sleep(self.runs_s)
            headers = [f"X-Attempt-Id: {request_id}"]
            headers += [f"{self._header}: {value}" for value in self.stated]
            if self.sheds:
                headers.append("X-Not-Executed: full")
            await stream.send(response(b"ok", *headers, status=SHED if self.sheds else "200 OK"))
