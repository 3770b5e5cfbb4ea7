"""Explains to operators where a request would be sent now."""

from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from wagtailpoint.placement.choice import Choice, Demand
from wagtailpoint.placement.explanation import ExplainedCandidate
from wagtailpoint.placement.placement import Placement
from wagtailpoint.proxy.request_demand import placement_key
from wagtailpoint.relay.reachability import Path, Reachability
from wagtailpoint.routing.table import HostRoute, RouteTable
from wagtailpoint.routing.workspaces import WorkspacePolicy

EXPLAIN_PATH = "/explain"


class ExplainQuery(NamedTuple):
    """A request to explain.

    Attributes:
        host: The host name.
        path: The path, with the query if there is one.
        key: The affinity key; empty for none.
        workspace: The name of the workspace; empty for none.
    """

    host: str
    path: str
    key: str
    workspace: str


def parse_explain(target: str) -> ExplainQuery | None:
    """Parse the target of a page; return None if it asks for no explanation."""
    parts = urlsplit(target)
    if parts.path != EXPLAIN_PATH:
        return None
    query = parse_qs(parts.query)
    return ExplainQuery(*(query.get(field, [""])[0] for field in ExplainQuery._fields))


class RoutingExplainer:
    """Answers where a request would be sent, without sending or counting it."""

    def __init__(
        self,
        *,
        table: Callable[[], RouteTable | None],
        placement: Placement,
        reachability: Reachability,
    ) -> None:
        """Initialise the explainer.

        Args:
            table: Returns the routes in force; None before the first configuration.
            placement: Chooses backend servers.
            reachability: Whether this instance reaches backend servers at all.
        """
        self._table = table
        self._placement = placement
        self._reachability = reachability

    def explain(self, query: ExplainQuery) -> dict[str, Any]:
        """Return a decision for each service of the route, as a JSON value."""
        table = self._table()
        if table is None:
            return {"result": "no configuration"}
        route = table.find(query.host, query.path.partition("?")[0])
        if route is None:
            return {"result": "no such route", "config_version": table.version}
        if query.workspace:
            workspace = _find_workspace(table, query.workspace)
            if workspace is None:
                return {"result": "no such workspace", "config_version": table.version}
            route = route.for_workspace(workspace)
        return {
            "result": "routed",
            "config_version": table.version,
            "route": route.name,
            "priority": route.priority,
            "services": [
                {"weight": part.weight, **self._explain_service(table, route, part.service, query)}
                for part in route.parts
            ],
        }

    def _explain_service(
        self, table: RouteTable, route: HostRoute, service: str, query: ExplainQuery
    ) -> dict[str, Any]:
        demand = Demand(
            route=route,
            service=service,
            policy=table.services.get(service),
            key=placement_key(route, query.key, query.path),
            tried=(),
            remaining_s=route.timeout_s,
            objective_remaining_s=route.objective_s,
        )
        explanation = self._placement.explain(demand)
        chosen = explanation.chosen
        is_placed = isinstance(chosen, Choice)
        reason = "chosen" if isinstance(chosen, Choice) else chosen.reason
        if self._reachability.path is Path.NONE:
            is_placed, reason = False, "unreachable"
        return {
            "service": service,
            "key": demand.key,
            "result": reason,
            "server": chosen.entry.server_id if isinstance(chosen, Choice) and is_placed else None,
            "candidates": [_fields(each) for each in explanation.candidates],
        }


def _find_workspace(table: RouteTable, name: str) -> WorkspacePolicy | None:
    known = (table.workspaces or {}).values()
    return next((workspace for workspace in known if workspace.name == name), None)


def _fields(candidate: ExplainedCandidate) -> dict[str, Any]:
    fields = candidate._asdict()
    return {
        name: round(value, 3) if isinstance(value, float) else value
        for name, value in fields.items()
    }
