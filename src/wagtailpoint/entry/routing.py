"""Finds the route of a request in a workspace."""

from wagtailpoint.config.model import Route, Workspace


def _rank(route: Route) -> tuple[int, bool]:
    return len(route.prefix), route.method is not None


def find_route(workspace: Workspace, *, method: str, path: str) -> Route | None:
    """Find the route with the longest matching prefix.

    Of routes with the same prefix, one for a specific method takes precedence. HEAD requests use
    the routes of GET (RFC 9110, section 9.3.2).
    """
    accepted = (None, method, "GET" if method == "HEAD" else method)
    matching = [
        route
        for route in workspace.routes
        if path.startswith(route.prefix) and route.method in accepted
    ]
    return max(matching, key=_rank, default=None)
