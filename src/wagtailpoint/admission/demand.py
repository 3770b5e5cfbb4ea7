"""What a request asks of admission, and what it gets."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple, Protocol

from wagtailpoint.config.model import BackendServer, ClassPolicy


class ServerChoice(Protocol):
    """The backend servers that may take one request, from best to worst."""

    def candidates(self) -> Sequence[BackendServer]:
        """Those that may take it now, in order of preference."""
        ...

    def tier_of(self, server: BackendServer) -> int:
        """The tier of one of the last ``candidates``; the next is used when one is full."""
        ...

    def record_taken(self, server: BackendServer) -> None:
        """A slot of this backend server was taken, in the same step as ``candidates``."""
        ...


class SlotDemand(NamedTuple):
    """What one request needs.

    Attributes:
        pool: The service and group that it goes to; requests of one pool have the same candidates.
        servers: The backend servers that may take it.
        policy: Its class.
        deadline: By the monotonic clock.
        avoid: Backend servers already tried; taken only if there is no other, and those of other
            failure domains first.
        workspace: Whose request it is, for fairness.
        max_rps: The workspace's limit, None if it has none.
        classes: All classes of the service, whose ceilings bind together.
        long: A download: it may hold its slot long after the deadline, which bounds its headers.
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
    """A slot of a backend server, held until it is released."""

    pool: str
    server: BackendServer
    policy: ClassPolicy
    workspace: str = ""
    taken_at: float = 0.0


class SlotGrants(Protocol):
    """The slots of backend servers that this instance may use at all, whatever the class."""

    def slots_of(self, server: BackendServer) -> int:
        """How many of a backend server's slots this instance may use now, those in use included."""
        ...

    def take(
        self, servers: Sequence[BackendServer], *, deadline: float, long: bool = False
    ) -> BackendServer | None:
        """Take a slot of one of these, the best first; None if there is no free one.

        Args:
            servers: The candidates of one tier.
            deadline: When what is started will be over, by the monotonic clock.
            long: It may run on after the deadline.
        """
        ...

    def give_back(self, server: BackendServer) -> None:
        """Give back a slot that was taken."""
        ...
