"""Stand-in backend servers that crash when they run certain requests."""

from itertools import count
from typing import NamedTuple

import trio

from tests.common.node_settings_file import server_document
from tests.common.scripted_server import ScriptedStream, response
from tests.common.sockets import loopback_address, reset_connection
from tests.common.users_store import UsersStore


class Crash(NamedTuple):
    """A crash of a backend server caused by a request.

    Attributes:
        time_s: When it happened, by trio's clock.
        target: Path and query of the request.
        server_id: Id of the backend server that crashed.
    """

    time_s: float
    target: str
    server_id: str


class CrashingServers:
    """Backend servers of the service ``desk``, each restarted under a new id after a crash.

    Attributes:
        crashes: All crashes in chronological order.
        crash_marker: A request whose target contains this text crashes its backend server.
    """

    def __init__(
        self, *, store: UsersStore, crash_marker: str, down_s: float, runs_s: float
    ) -> None:
        """Initialise without starting any backend server.

        Args:
            store: Store in which the backend servers are registered.
            crash_marker: Text in the target of requests that crash a backend server.
            down_s: Time between a crash and the restart, in seconds.
            runs_s: Time from the start of a request to its answer or crash, in seconds.
        """
        self.crashes: list[Crash] = []
        self.crash_marker = crash_marker
        self._store = store
        self._down_s = down_s
        self._runs_s = runs_s
        self._numbers = count(1)

    def crashes_by(self, target: str) -> list[Crash]:
        """Return the crashes caused by requests with a target."""
        return [crash for crash in self.crashes if crash.target == target]

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
            await _ServerProcess(servers=self, server_id=server_id).serve(listeners)
            await trio.sleep(self._down_s)
            self._store.delete("servers", server_id)

    async def simulate_work(self) -> None:
        """Sleep for the time that a request runs."""
        await trio.sleep(self._runs_s)


class _ServerProcess:
    """A process of a backend server, from its start to its crash."""

    def __init__(self, *, servers: CrashingServers, server_id: str) -> None:
        self._servers = servers
        self._server_id = server_id
        self._scope = trio.CancelScope()

    async def serve(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until a request causes a crash, then stop listening and reset all connections."""
        with self._scope:
            await trio.serve_listeners(self._serve_connection, listeners)
        for listener in listeners:
            await listener.aclose()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        try:
            await self._answer_all(ScriptedStream(stream=stream))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            with trio.CancelScope(shield=True):
                await reset_connection(stream)

    async def _answer_all(self, stream: ScriptedStream) -> None:
        while request := await stream.request():
            head = request.partition(b"\r\n\r\n")[0].decode()
            line, *headers = head.split("\r\n")
            target = line.split(" ")[1]
            fields = dict(header.lower().split(": ", 1) for header in headers)
            await self._servers.simulate_work()
            if self._servers.crash_marker in target:
                crash = Crash(trio.current_time(), target, self._server_id)
                self._servers.crashes.append(crash)
                self._scope.cancel()
            await trio.lowlevel.checkpoint()
            await stream.send(response(b"ok", f"X-Attempt-Id: {fields['x-attempt-id']}"))
