"""Stand-in backend servers that can be cut off from instances, ask for rest, and leave."""

import math
from collections import Counter
from collections.abc import Collection, Iterator
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
SLOTS = 3

REST_SLACK_S = 0.5
MAX_ARRIVALS_IN_REST = 2
"""The users' bound on the requests that arrive in a rest, later than the slack into it."""


class Cancelled(NamedTuple):
    """A request whose connection ended while it ran.

    Attributes:
        request_id: The id that the caller gave it.
        after_s: The time from its arrival to the end of the connection, in seconds.
        ended_s: When the connection ended, by trio's clock.
    """

    request_id: str
    after_s: float
    ended_s: float


class Arrival(NamedTuple):
    """A request that reached a backend server.

    Attributes:
        time_s: When it arrived, by trio's clock.
        server_id: The id of the backend server.
        sender: The address that it came from.
        request_id: The id that the caller gave it.
    """

    time_s: float
    server_id: str
    sender: str
    request_id: str


class Rest(NamedTuple):
    """The time in which a backend server wants no requests from an address.

    Attributes:
        server_id: The id of the backend server.
        sender: The address.
        from_s: When the backend server said so, by trio's clock.
        to_s: The end of the time.
    """

    server_id: str
    sender: str
    from_s: float
    to_s: float


class PartitionedServers:
    """Backend servers of the service ``desk``, spread over failure domains.

    A target with the text ``/slow-MS/`` runs for that many milliseconds.

    Attributes:
        rest_s: The rest, in seconds, that a backend server asks for as it turns a request away.
        turns_away: The ids of the backend servers that turn requests away.
        turns_away_every: They turn away one of so many requests.
        leaving: The ids of the backend servers that say in all answers that they leave.
        arrivals: All requests that arrived, whether they ran or not, in chronological order.
        rests: The rests that backend servers asked for, in chronological order.
        announced_s: When a backend server first told an address that it leaves, by both.
        runs: How often the request with an id ran.
        cancelled: The requests whose connections ended while they ran.
        runs_at: How many requests ran at each backend server.
        senders: The addresses from which each request arrived.
        object_bytes: The size of an answer's body.
        slots: How many requests each backend server that starts runs at once, by its entry.
        keeps_deadlines: Whether they stop their work at the deadline that a request came with, and
            answer 504.
    """

    def __init__(self, *, store: UsersStore, partition: Partition, random: Random) -> None:
        """Initialise without starting any backend server."""
        self.rest_s = 3.0
        self.turns_away: Collection[str] = ()
        self.turns_away_every = 1
        self.leaving: Collection[str] = ()
        self.arrivals: list[Arrival] = []
        self.rests: list[Rest] = []
        self.announced_s: dict[tuple[str, str], float] = {}
        self.runs: Counter[str] = Counter()
        self.runs_at: Counter[str] = Counter()
        self.cancelled: list[Cancelled] = []
        self.senders: dict[str, str] = {}
        self.object_bytes = OBJECT_BYTES
        self.slots = SLOTS
        self.keeps_deadlines = False
        self._store = store
        self._partition = partition
        self._random = random
        self._ids_by_address: dict[str, str] = {}

    @property
    def server_ids(self) -> list[str]:
        """The ids of all backend servers, in the order of their starts."""
        return list(self._ids_by_address.values())

    def excess_arrivals(self) -> Iterator[tuple[Rest, int]]:
        """Yield each rest in which more requests arrived than allowed, and their number."""
        for rest in self.rests:
            count = sum(
                arrival.server_id == rest.server_id
                and arrival.sender == rest.sender
                and rest.from_s + REST_SLACK_S < arrival.time_s < rest.to_s
                for arrival in self.arrivals
            )
            if count > MAX_ARRIVALS_IN_REST:
                yield rest, count

    def restart(self, server_id: str) -> str:
        """Register the server at an address anew, as after a restart; return its new id."""
        address, started = server_id.removeprefix("i-").partition("+")[::2]
        renewed = f"i-{address}+{int(started or 0) + 1}"
        document = self._store.spec("servers", server_id)
        self._store.delete("servers", server_id)
        self._ids_by_address[address] = renewed
        self._store.put("servers", renewed, document)
        return renewed

    async def run(
        self, failure_domain: str, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run one backend server until cancelled."""
        address = loopback_address()
        listeners = await trio.open_tcp_listeners(0, host=address)
        port = listeners[0].socket.getsockname()[1]
        server_id = f"i-{address}"
        self._partition.add_server(address)
        self._ids_by_address[address] = server_id
        document = server_document(
            f"{address}:{port}", Zone=failure_domain, MaxConcurrency=self.slots
        )
        self._store.put("servers", server_id, document)

        async def serve(stream: trio.SocketStream) -> None:
            await self._serve(stream, address)

        task_status.started()
        await trio.serve_listeners(serve, listeners)

    async def _serve(self, stream: trio.SocketStream, address: str) -> None:
        try:
            with self._partition.track(stream):
                await self._answer_all(ScriptedStream(stream=stream), address)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        except OSError:
            # A partition or the peer closed the socket before its address was read.
            return
        finally:
            await trio.aclose_forcefully(stream)

    async def _answer_all(self, stream: ScriptedStream, address: str) -> None:
        # Read before the first request: a partition may close the socket right after a request.
        sender = stream.stream.socket.getpeername()[0]
        while request := await stream.request():
            server_id = self._ids_by_address[address]
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
            self.arrivals.append(Arrival(trio.current_time(), server_id, sender, request_id))
            answer_headers = [f"X-Attempt-Id: {request_id}", *self._leaving_header(server_id)]
            if self._turns_away(server_id):
                await stream.send(self._turn_away(server_id, sender, answer_headers))
                continue
            self.runs[request_id] += 1
            self.runs_at[server_id] += 1
            self.senders[request_id] = sender
            limit_s = float(fields["x-deadline-ms"]) / 1000 if self.keeps_deadlines else math.inf
            if not await self._work(stream, request_id, target, limit_s):
                return
            if self._run_s(target) > limit_s:
                await stream.send(response(b"", *answer_headers, status="504 Gateway Timeout"))
                continue
            answer = f"{request_id} {len(body)} ".encode().ljust(self.object_bytes, b".")
            await stream.send(response(answer, *answer_headers))
            if server_id in self.leaving:
                self.announced_s.setdefault((server_id, sender), trio.current_time())

    def _leaving_header(self, server_id: str) -> list[str]:
        return ["Server-Leaving: 1"] if server_id in self.leaving else []

    def _turns_away(self, server_id: str) -> bool:
        return server_id in self.turns_away and len(self.arrivals) % self.turns_away_every == 0

    def _turn_away(self, server_id: str, sender: str, headers: list[str]) -> bytes:
        now = trio.current_time()
        headers = [*headers, "X-Not-Executed: shed"]
        # It asks once: what arrives in its rest is turned away without another word.
        if not any(
            rest.server_id == server_id and rest.sender == sender and now < rest.to_s
            for rest in self.rests
        ):
            self.rests.append(Rest(server_id, sender, now, now + self.rest_s))
            headers.append(f"Retry-After: {self.rest_s:g}")
        return response(b"", *headers, status="503 Service Unavailable")

    def _run_s(self, target: str) -> float:
        if "/slow-" in target:
            return float(target.partition("/slow-")[2].partition("/")[0]) / 1000
        return self._random.uniform(MIN_RUN_S, MAX_RUN_S)

    async def _work(
        self, stream: ScriptedStream, request_id: str, target: str, limit_s: float
    ) -> bool:
        """Work on a request; return False if its connection ended meanwhile."""
        began = trio.current_time()
        with trio.move_on_after(min(self._run_s(target), limit_s)):
            await trio.lowlevel.wait_readable(stream.stream.socket)
            now = trio.current_time()
            self.cancelled.append(Cancelled(request_id, now - began, now))
            return False
        return True
