"""What a request needs of a backend server."""

import trio

from wagtailpoint.placement.choice import Demand
from wagtailpoint.proxy.headers import header_text, header_value
from wagtailpoint.proxy.request_context import RequestContext
from wagtailpoint.routing.table import HostRoute


def placement_key(route: HostRoute, affinity: str, target: str) -> str:
    """Return the key by which a request is placed; its target if it has no affinity key."""
    return f"{route.prefix}{affinity}" if affinity and route.sticky else target


def make_demand(context: RequestContext, affinity: bytes) -> Demand:
    """Return the demand of a request at this moment.

    Args:
        context: The request and the state of its dispatch.
        affinity: The name of the header with the affinity key.
    """
    route = context.route
    key = header_value(context.request.headers, affinity) if route.sticky else None
    return Demand(
        route=route,
        service=context.service,
        policy=context.table.services.get(context.service),
        key=placement_key(route, header_text(key) if key else "", context.request.target),
        tried=context.tried_servers,
        remaining_s=context.remaining_s,
        objective_remaining_s=context.request.arrived_at + route.objective_s - trio.current_time(),
    )
