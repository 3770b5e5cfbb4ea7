"""Stand-ins of backend servers that end when they begin to run a certain request."""

from itertools import count
from typing import NamedTuple

import trio

from tests.common.node_settings_file import server_document
from tests.common.scripted_server import ScriptedStream, response
from tests.common.sockets import loopback_address, reset_connection
from tests.common.users_store import UsersStore


class Crash(NamedTuple):
    """A request that ended the backend server that ran it.

    Attributes:
        time_s: When, by trio's clock.
        target: Path and query of the request.
        server_id: The start of the backend server that it ended.
    """

    time_s: float
    target: str
    server_id: str


class CrashingServers:
    """Backend servers of the service ``desk``, each started again under a new id after a crash.

    Attributes:
        crashes: In the order in which they happened.
        poison: A request whose target contains this ends the backend server that runs it.
    """

    def __init__(self, *, store: UsersStore, poison: str, down_s: float, runs_s: float) -> None:
        """Make none yet.

        Args:
            store: Where they register.
            poison: See there.
            down_s: For how long a backend server is away after a crash.
            runs_s: How long each request runs, until its answer or the crash.
        """
        self.crashes: list[Crash] = []
        self.poison = poison
        self._store = store
        self._down_s = down_s
        self._runs_s = runs_s
        self._numbers = count(1)

    def crashed(self, target: str) -> list[Crash]:
        """The crashes by requests with this target."""
        return [each for each in self.crashes if each.target == target]

    async def run(self, servers: int) -> None:
        """Run so many of them until cancelled."""
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
            await _Start(servers=self, server_id=server_id).serve(listeners)
            await trio.sleep(self._down_s)
            self._store.delete("servers", server_id)

    async def work(self) -> None:
        """Take the time that a request runs."""
        await trio.sleep(self._runs_s)


class _Start:
    """One start of a backend server, until its crash."""

    def __init__(self, *, servers: CrashingServers, server_id: str) -> None:
        self._servers = servers
        self._server_id = server_id
        self._scope = trio.CancelScope()

    async def serve(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until a request ends it; then nobody listens, and all connections are reset."""
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
            fields = dict(each.lower().split(": ", 1) for each in headers)
            await self._servers.work()
            if self._servers.poison in target:
                crash = Crash(trio.current_time(), target, self._server_id)
                self._servers.crashes.append(crash)
                self._scope.cancel()
            await trio.lowlevel.checkpoint()
            await stream.send(response(b"ok", f"X-Attempt-Id: {fields['x-attempt-id']}"))
