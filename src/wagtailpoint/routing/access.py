"""Whether a request may run, by the key that it carries."""

from enum import Enum

from wagtailpoint.routing.table import HostRoute, RouteTable
from wagtailpoint.routing.workspaces import WorkspacePolicy


class AccessRefusal(Enum):
    """Why a request may not run."""

    NO_KEY = "no-key"
    UNKNOWN_KEY = "unknown-key"
    UNPROVED = "keys-unproved"
    """The configuration may be outdated: the key may have been taken away, or added, since."""

    @property
    def is_final(self) -> bool:
        """Whether the same request would be refused again."""
        return self is not AccessRefusal.UNPROVED


def check_access(
    table: RouteTable, route: HostRoute, key: bytes | None, *, proved: bool
) -> WorkspacePolicy | AccessRefusal | None:
    """Decide on a request.

    Args:
        table: The configuration in force.
        route: The request's route.
        key: The digest of its key; None if it carries none.
        proved: Whether the configuration is known to have been the newest a short time ago.

    Returns:
        The workspace that holds the key, None if no key is needed, or why it may not run.
    """
    if table.workspaces is None or route.public:
        return None
    if key is None:
        return AccessRefusal.NO_KEY
    if not proved:
        return AccessRefusal.UNPROVED
    return table.workspaces.get(key, AccessRefusal.UNKNOWN_KEY)
