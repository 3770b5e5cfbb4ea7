"""Requests that wait until a backend server has room for them, in the order of their turns."""

from collections.abc import Callable, Iterable
from typing import Final, Generic, NamedTuple, TypeVar

from wagtailpoint.admission.recent_admissions import RecentAdmissions

MAX_WAITING: Final = 256
"""Maximum number of waiting requests of an instance. Those that wait longest in a burst are refused
by their time limit in any case: more would only cost memory and time."""

MAX_WAITING_BYTES: Final = 16 * 1024 * 1024
"""Maximum size of the bodies of waiting requests, an eighth of an instance's memory at most."""

MAX_ATTEMPTS: Final = 16
"""Maximum number of server selections on one event, each of which takes about 60 µs."""

Owner = TypeVar("Owner")


class Turn(NamedTuple):
    """What determines the turn of a request.

    Attributes:
        service: The service whose backend servers may serve it.
        priority: Its priority; 0 is the most urgent.
        workspace: Its workspace; empty if callers need no key.
        deadline: The time at which its caller stops waiting, in seconds. A caller who retries has
            an earlier one than callers who just arrived.
        body_bytes: The size of its body in memory.
    """

    service: str
    priority: int
    workspace: str
    deadline: float
    body_bytes: int


class Rank(NamedTuple):
    """The place in the order; the smallest is the first.

    Attributes:
        priority: The priority of the request.
        level: The level of its workspace's recent admissions.
        deadline: The deadline of its caller.
        sequence: The number of the arrival in the queue.
    """

    priority: int
    level: int
    deadline: float
    sequence: int


class Waiting(Generic[Owner]):
    """A request in the queue.

    Attributes:
        turn: What determines its turn.
        owner: Whatever its user attached.
        sequence: The number of its arrival.
        servers: The ids of the backend servers that had no room for it at the last selection; empty
            if they are not known.
    """

    __slots__ = ("owner", "sequence", "servers", "turn")

    def __init__(self, *, turn: Turn, owner: Owner, sequence: int, servers: frozenset[str]) -> None:
        self.turn = turn
        self.owner = owner
        self.sequence = sequence
        self.servers = servers


class Found(NamedTuple):
    """The result of a selection that found room, or made the request leave for another reason.

    Attributes:
        server: The id of the backend server with room; empty if the request leaves without.
    """

    server: str


class NotFound(NamedTuple):
    """The result of a selection that found no room.

    Attributes:
        servers: The ids of the backend servers without room.
    """

    servers: frozenset[str]


class Entered(NamedTuple, Generic[Owner]):
    """The result of an arrival.

    Attributes:
        waiting: The request in the queue; None if the queue is full of requests before it.
        displaced: The last in the order, which had to leave for it.
    """

    waiting: Waiting[Owner] | None
    displaced: list[Waiting[Owner]]


class RoomQueue(Generic[Owner]):
    """The requests of an instance for which there was no room.

    The order is: priority; then the workspace with the lowest level of recent admissions; then the
    earliest deadline of the caller. Room that was found is reserved until the request is sent, as
    the next selection would find the same room again.
    """

    def __init__(
        self, *, max_waiting: int = MAX_WAITING, max_bytes: int = MAX_WAITING_BYTES
    ) -> None:
        """Initialise an empty queue.

        Args:
            max_waiting: The maximum number of requests.
            max_bytes: The maximum size of their bodies.
        """
        self._max_waiting = max_waiting
        self._max_bytes = max_bytes
        self._admissions = RecentAdmissions()
        self._by_service: dict[str, dict[Waiting[Owner], None]] = {}
        self._reserved: dict[Waiting[Owner], str] = {}
        self._count = 0
        self._bytes = 0
        self._sequence = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._count

    @property
    def body_bytes(self) -> int:
        """The size of the bodies of waiting requests."""
        return self._bytes

    @property
    def services(self) -> list[str]:
        """The services that requests wait for."""
        return list(self._by_service)

    def record_admission(self, service: str, workspace: str, now: float) -> None:
        """Record that a request of a workspace was sent."""
        self._admissions.record(service, workspace, now)

    def enter(
        self, turn: Turn, owner: Owner, servers: frozenset[str], now: float
    ) -> Entered[Owner]:
        """Add a request; if the queue is full then, the last in the order leave it.

        Args:
            turn: What determines its turn.
            owner: Attached to the request.
            servers: The ids of the backend servers without room for it; empty if not known.
            now: The current time in seconds.
        """
        self._sequence += 1
        waiting = Waiting(turn=turn, owner=owner, sequence=self._sequence, servers=servers)
        self._by_service.setdefault(turn.service, {})[waiting] = None
        self._count += 1
        self._bytes += turn.body_bytes
        displaced: list[Waiting[Owner]] = []
        while self._count > self._max_waiting or self._bytes > self._max_bytes:
            last = max(
                (other for queued in self._by_service.values() for other in queued),
                key=lambda other: self._rank(other, now),
            )
            self.leave(last)
            if last is waiting:
                return Entered(None, displaced)
            displaced.append(last)
        return Entered(waiting, displaced)

    def leave(self, waiting: Waiting[Owner]) -> None:
        """Remove a request that waits; nothing if it does not."""
        queued = self._by_service.get(waiting.turn.service, {})
        if waiting not in queued:
            return
        del queued[waiting]
        if not queued:
            del self._by_service[waiting.turn.service]
        self._count -= 1
        self._bytes -= waiting.turn.body_bytes

    def release(self, waiting: Waiting[Owner]) -> str:
        """End the reservation for a request that was sent or ended; return the server's id."""
        return self._reserved.pop(waiting, "")

    def is_waiting(self, waiting: Waiting[Owner]) -> bool:
        """Return whether a request waits."""
        return waiting in self._by_service.get(waiting.turn.service, {})

    def is_reserved(self, server: str) -> bool:
        """Return whether room at a backend server is reserved for a request not yet sent."""
        return server in self._reserved.values()

    def in_order(self, service: str, now: float, server: str = "") -> list[Waiting[Owner]]:
        """Return the waiting requests of a service, or those for one of its servers, by rank."""
        queued: list[Waiting[Owner]] = [
            waiting
            for waiting in self._by_service.get(service, ())
            if not server or server in waiting.servers
        ]
        levels = self._levels(service, queued, now)
        return sorted(
            queued,
            key=lambda waiting: (
                waiting.turn.priority,
                levels[waiting.turn.workspace],
                waiting.turn.deadline,
                waiting.sequence,
            ),
        )

    def has_before(self, turn: Turn, server: str, now: float) -> bool:
        """Return whether a request of smaller rank waits for a server, or has room reserved there.

        Args:
            turn: The turn of a request that arrives.
            server: The id of the backend server.
            now: The current time in seconds.
        """
        others = [
            other for other in self._by_service.get(turn.service, ()) if server in other.servers
        ]
        others += [other for other, reserved in self._reserved.items() if reserved == server]
        if not others:
            return False
        own = self._new_rank(turn, now)
        return any(
            other.turn.service == turn.service and self._rank(other, now) < own for other in others
        )

    def count_before(self, turn: Turn, now: float) -> int:
        """Return the number of waiting requests of the same service that rank before a new one."""
        queued = self._by_service.get(turn.service)
        if not queued:
            return 0
        levels = self._levels(turn.service, queued, now)
        own_level = self._admissions.level(turn.service, turn.workspace, now)
        own = (turn.priority, own_level, turn.deadline)
        return sum(
            (other.turn.priority, levels[other.turn.workspace], other.turn.deadline) <= own
            for other in queued
        )

    def is_behind_by_share(self, turn: Turn, servers: frozenset[str], now: float) -> bool:
        """Return whether requests of workspaces with smaller shares wait for the same room.

        Args:
            turn: The turn of a request that does not wait.
            servers: The ids of the backend servers without room for it; empty if not known.
            now: The current time in seconds.
        """
        level = self._admissions.level(turn.service, turn.workspace, now)
        if level == 0:
            return False
        return any(
            other.turn.priority == turn.priority
            and not (servers and other.servers and servers.isdisjoint(other.servers))
            and self._admissions.level(turn.service, other.turn.workspace, now) < level
            for other in self._by_service.get(turn.service, ())
        )

    def offer(
        self,
        service: str,
        select: Callable[[Waiting[Owner]], Found | NotFound],
        now: float,
        server: str = "",
    ) -> list[Waiting[Owner]]:
        """Let waiting requests select a backend server in order; return those that leave for it.

        A request passes others that wait for full backend servers only, but takes no room at one
        for which a request before it waits.

        Args:
            service: The service.
            select: Selects a backend server for a request.
            now: The current time in seconds.
            server: The id of the backend server that may have room; empty if any may.
        """
        found: list[Waiting[Owner]] = []
        taken = set(self._reserved.values())
        attempts = 0
        tried: set[Waiting[Owner]] = set()
        queued = self.in_order(service, now, server)
        while queued and attempts < MAX_ATTEMPTS and not (server and server in taken):
            waiting = queued.pop(0)
            if waiting in tried or (waiting.servers and waiting.servers <= taken):
                continue
            tried.add(waiting)
            attempts += 1
            result = select(waiting)
            if isinstance(result, NotFound):
                waiting.servers = result.servers
                taken |= result.servers
            elif result.server not in taken:
                self.leave(waiting)
                found.append(waiting)
                if result.server:
                    self._reserved[waiting] = result.server
                    taken.add(result.server)
            else:
                # The room belongs to a request before this one, which has to wait for it.
                waiting.servers |= {result.server}
        return found

    def _levels(self, service: str, queued: Iterable[Waiting[Owner]], now: float) -> dict[str, int]:
        workspaces = {waiting.turn.workspace for waiting in queued}
        return {name: self._admissions.level(service, name, now) for name in workspaces}

    def _rank(self, waiting: Waiting[Owner], now: float) -> Rank:
        turn = waiting.turn
        level = self._admissions.level(turn.service, turn.workspace, now)
        return Rank(turn.priority, level, turn.deadline, waiting.sequence)

    def _new_rank(self, turn: Turn, now: float) -> Rank:
        level = self._admissions.level(turn.service, turn.workspace, now)
        return Rank(turn.priority, level, turn.deadline, self._sequence + 1)
