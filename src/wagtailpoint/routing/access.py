"""Access control by the workspace key that a request carries."""

from enum import Enum

from wagtailpoint.routing.table import HostRoute, RouteTable
from wagtailpoint.routing.workspaces import WorkspacePolicy


class AccessRefusal(Enum):
    """The reason why a request is refused by its key."""

    NO_KEY = "no-key"
    UNKNOWN_KEY = "unknown-key"
    UNPROVED = "keys-unproved"
    """The configuration may be stale, so the key may have been revoked or added since."""

    @property
    def is_final(self) -> bool:
        """Whether a retry of the same request would be refused again."""
        return self is not AccessRefusal.UNPROVED


def check_access(
    table: RouteTable, route: HostRoute, key: bytes | None, *, proved: bool
) -> WorkspacePolicy | AccessRefusal | None:
    """Check whether a request may run.

    Args:
        table: The configuration in force.
        route: The route of the request.
        key: The digest of the request's key; None if it carries none.
        proved: Whether the configuration is proved to have been the newest a short time ago.

    Returns:
        The workspace of the key, None if no key is needed, or the reason for a refusal.
    """
    if table.workspaces is None or route.public:
        return None
    if key is None:
        return AccessRefusal.NO_KEY
    if not proved:
        return AccessRefusal.UNPROVED
    return table.workspaces.get(key, AccessRefusal.UNKNOWN_KEY)
