"""Data exchanged with admission: slot demands, held slots, and the interfaces it depends on."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple, Protocol

from wagtailpoint.config.model import BackendServer, ClassPolicy


class ServerChoice(Protocol):
    """The backend servers that may serve one request, in order of preference."""

    def candidates(self) -> Sequence[BackendServer]:
        """Return the backend servers that may serve the request now, best first."""
        ...

    def tier_of(self, server: BackendServer) -> int:
        """Return the tier of a backend server among the latest ``candidates``.

        Tiers are tried in ascending order; a tier is tried when all lower ones are full.
        """
        ...

    def record_taken(self, server: BackendServer) -> None:
        """Record that a slot of a backend server was taken.

        Called without a checkpoint since ``candidates`` was called.
        """
        ...


class SlotDemand(NamedTuple):
    """A request for a slot.

    Attributes:
        pool: Name of the service and group; requests of one pool have the same candidates.
        servers: The backend servers that may serve the request.
        policy: Class of the request.
        deadline: Time on the monotonic clock, in seconds, by which the answer must be complete.
        avoid: Backend servers that were already tried. Others are preferred, those in failure
            domains that were not tried first.
        workspace: Workspace of the request, between which slots are shared fairly.
        max_rps: Rate limit of the workspace in requests per second; None if unlimited.
        classes: All classes of the service, whose ceilings apply together.
        long: Whether the request is a download. The deadline then applies to the response headers
            only, and the slot may be held long after it.
    """

    pool: str
    servers: ServerChoice
    policy: ClassPolicy
    deadline: float
    avoid: Sequence[BackendServer] = ()
    workspace: str = ""
    max_rps: float | None = None
    classes: Iterable[ClassPolicy] = ()
    long: bool = False


class Slot(NamedTuple):
    """A slot of a backend server, held until it is released.

    Attributes:
        pool: Name of the pool of the request that holds it.
        server: The backend server.
        policy: Class of the request.
        workspace: Workspace of the request.
        taken_at: Time on the monotonic clock, in seconds, at which it was taken.
    """

    pool: str
    server: BackendServer
    policy: ClassPolicy
    workspace: str = ""
    taken_at: float = 0.0


class SlotGrants(Protocol):
    """The slots of backend servers that are granted to this instance, for all classes together."""

    def slots_of(self, server: BackendServer) -> int:
        """Return how many slots of a backend server this instance may hold in total."""
        ...

    def take(
        self, servers: Sequence[BackendServer], *, deadline: float, long: bool = False
    ) -> BackendServer | None:
        """Take a slot of one of the given backend servers; return None if none is free.

        Args:
            servers: Candidates of one tier, best first.
            deadline: Time on the monotonic clock, in seconds, by which the request ends.
            long: Whether the request may continue after the deadline.
        """
        ...

    def release(self, server: BackendServer) -> None:
        """Release a slot that was taken."""
        ...
