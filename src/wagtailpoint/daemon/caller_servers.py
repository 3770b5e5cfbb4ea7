"""The servers of an instance on the platform, for requests, lookups, readiness and metrics."""

from collections.abc import Callable
from typing import Final

from wagtailpoint.daemon.entry_pages import EntryPages
from wagtailpoint.node_settings import Endpoint, NodeSettings
from wagtailpoint.proxy.caller_connection import RequestHandler
from wagtailpoint.proxy.caller_server import CallerServer
from wagtailpoint.routing.table import CallerBounds

CALLERS_FRACTION: Final = 0.7
"""Fraction of the unreserved file descriptors for callers; the rest is for backend servers."""

RESERVED_DESCRIPTORS: Final = 260
MAX_PAGE_CONNECTIONS: Final = 200


def make_caller_servers(
    *,
    settings: NodeSettings,
    handle_request: RequestHandler,
    pages: EntryPages,
    bounds: Callable[[], CallerBounds],
    is_leaving: Callable[[], bool],
) -> list[CallerServer]:
    """Return the servers, that of callers' requests first.

    Args:
        settings: The endpoints, and the number of file descriptors.
        handle_request: Serves a caller's request.
        pages: Answers lookups, readiness checks and metrics scrapes.
        bounds: Returns the limits on callers' requests.
        is_leaving: Whether the instance is stopping.
    """

    def server(endpoint: Endpoint, handler: RequestHandler, limit: int) -> CallerServer:
        return CallerServer(
            endpoint=endpoint,
            handler=handler,
            bounds=bounds,
            is_leaving=is_leaving,
            max_connections=limit,
        )

    max_callers = int(CALLERS_FRACTION * (settings.most_descriptors - RESERVED_DESCRIPTORS))
    return [
        server(settings.callers, handle_request, max_callers),
        server(settings.lookups, pages.handle, MAX_PAGE_CONNECTIONS),
        server(settings.readiness, pages.handle, MAX_PAGE_CONNECTIONS),
        server(settings.metrics, pages.handle_metrics, MAX_PAGE_CONNECTIONS),
    ]
