"""Checks the API key of a request at its arrival and again before each send."""

from collections.abc import Callable

from wagtailpoint.proxy.request_context import RequestContext
from wagtailpoint.routing.access import AccessRefusal, check_access
from wagtailpoint.routing.table import HostRoute, RouteTable
from wagtailpoint.routing.workspaces import WorkspacePolicy


class KeyCheck:
    """Checks API keys against the configuration in force.

    A key may be revoked while a request waits or while this process is suspended. The check must
    therefore be made immediately before the send, without waiting in between.
    """

    def __init__(
        self, *, table: Callable[[], RouteTable | None], is_proved: Callable[[], bool]
    ) -> None:
        """Initialise the check.

        Args:
            table: Returns the route table of the configuration in force.
            is_proved: Returns whether that configuration was recently confirmed to be the newest.
        """
        self._table = table
        self._is_proved = is_proved

    def access(
        self, table: RouteTable, route: HostRoute, key: bytes | None
    ) -> WorkspacePolicy | AccessRefusal | None:
        """Return a request's workspace, None if it needs no key, or the reason to refuse it."""
        needs_key = table.workspaces is not None and not route.public
        return check_access(table, route, key, proved=not needs_key or self._is_proved())

    def refusal(self, context: RequestContext) -> AccessRefusal | None:
        """Return why an admitted request must not be sent now; None if it may be sent."""
        found = self.access(self._table() or context.table, context.route, context.key)
        if isinstance(found, AccessRefusal):
            return found
        name = found.name if found is not None else ""
        return None if name == context.workspace_name else AccessRefusal.UNKNOWN_KEY
