"""Checks the key of a request, at its arrival and again before each send."""

from collections.abc import Callable

from wagtailpoint.proxy.request_context import RequestContext
from wagtailpoint.routing.access import AccessRefusal, check_access
from wagtailpoint.routing.table import HostRoute, RouteTable
from wagtailpoint.routing.workspaces import WorkspacePolicy


class KeyCheck:
    """Decides by the configuration of the moment, and by whether that is proved.

    A key may be taken away while a request waits, or while this process does not run; so the check
    belongs in the same step as the send.
    """

    def __init__(
        self, *, table: Callable[[], RouteTable | None], is_proved: Callable[[], bool]
    ) -> None:
        """Make it.

        Args:
            table: The configuration in force.
            is_proved: Whether it was the newest a short time ago.
        """
        self._table = table
        self._is_proved = is_proved

    def access(
        self, table: RouteTable, route: HostRoute, key: bytes | None
    ) -> WorkspacePolicy | AccessRefusal | None:
        """The workspace of a request, None if it needs no key, or why it may not run."""
        needs_key = table.workspaces is not None and not route.public
        return check_access(table, route, key, proved=not needs_key or self._is_proved())

    def refusal(self, context: RequestContext) -> AccessRefusal | None:
        """Why a request that was admitted may not be sent now; None if it may."""
        found = self.access(self._table() or context.table, context.route, context.key)
        if isinstance(found, AccessRefusal):
            return found
        name = found.name if found is not None else ""
        return None if name == context.workspace_name else AccessRefusal.UNKNOWN_KEY
