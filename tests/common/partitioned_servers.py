"""Stand-in backend servers from which single instances can be cut off."""

from collections import Counter
from random import Random
from typing import Any, NamedTuple

import trio

from tests.common.node_settings_file import server_document
from tests.common.partition import Partition
from tests.common.scripted_server import ScriptedStream, response
from tests.common.sockets import loopback_address
from tests.common.users_store import UsersStore

MIN_RUN_S = 0.01
MAX_RUN_S = 0.03
OBJECT_BYTES = 2000


class Cancelled(NamedTuple):
    """A request whose connection ended while it ran.

    Attributes:
        request_id: The id that the caller gave it.
        after_s: The time from its arrival to the end of the connection, in seconds.
    """

    request_id: str
    after_s: float


class PartitionedServers:
    """Backend servers of the service ``desk``, spread over failure domains.

    A target with the text ``/slow-MS/`` runs for that many milliseconds.

    Attributes:
        runs: How often the request with an id ran.
        cancelled: The requests whose connections ended while they ran.
        runs_at: How many requests ran at each backend server.
        senders: The addresses from which each request arrived.
    """

    def __init__(self, *, store: UsersStore, partition: Partition, random: Random) -> None:
        """Initialise without starting any backend server."""
        self.runs: Counter[str] = Counter()
        self.runs_at: Counter[str] = Counter()
        self.cancelled: list[Cancelled] = []
        self.senders: dict[str, str] = {}
        self._store = store
        self._partition = partition
        self._random = random

    async def run(
        self, failure_domain: str, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run one backend server until cancelled."""
        address = loopback_address()
        listeners = await trio.open_tcp_listeners(0, host=address)
        port = listeners[0].socket.getsockname()[1]
        server_id = f"i-{address}"
        self._partition.add_server(address)
        document = server_document(f"{address}:{port}", Zone=failure_domain)
        self._store.put("servers", server_id, document)

        async def serve(stream: trio.SocketStream) -> None:
            await self._serve(stream, server_id)

        task_status.started()
        await trio.serve_listeners(serve, listeners)

    async def _serve(self, stream: trio.SocketStream, server_id: str) -> None:
        try:
            with self._partition.track(stream):
                await self._answer_all(ScriptedStream(stream=stream), server_id)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            await trio.aclose_forcefully(stream)

    async def _answer_all(self, stream: ScriptedStream, server_id: str) -> None:
        while request := await stream.request():
            head, _, body = request.partition(b"\r\n\r\n")
            line, *headers = head.decode().split("\r\n")
            target = line.split(" ")[1]
            if target == "/health":
                await stream.send(response(b"", f"X-Instance-Id: {server_id}"))
                continue
            fields: dict[str, Any] = dict(header.lower().split(": ", 1) for header in headers)
            request_id = fields["x-attempt-id"]
            if fields["x-expect-instance"] != server_id:
                await stream.send(response(b"", status="421 Misdirected Request"))
                continue
            self.runs[request_id] += 1
            self.runs_at[server_id] += 1
            self.senders[request_id] = stream.stream.socket.getpeername()[0]
            if not await self._work(stream, request_id, target):
                return
            answer = f"{request_id} {len(body)} ".encode().ljust(OBJECT_BYTES, b".")
            await stream.send(response(answer, f"X-Attempt-Id: {request_id}"))

    async def _work(self, stream: ScriptedStream, request_id: str, target: str) -> bool:
        """Work on a request; return False if its connection ended meanwhile."""
        run_s = self._random.uniform(MIN_RUN_S, MAX_RUN_S)
        if "/slow-" in target:
            run_s = float(target.partition("/slow-")[2].partition("/")[0]) / 1000
        began = trio.current_time()
        with trio.move_on_after(run_s):
            await trio.lowlevel.wait_readable(stream.stream.socket)
            self.cancelled.append(Cancelled(request_id, trio.current_time() - began))
            return False
        return True
