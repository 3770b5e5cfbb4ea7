"""Weighted splits: which service a request of a route goes to."""

from wagtailpoint.routing.table import HostRoute

MOST_ROUTES = 10_000
"""Routes whose turns are remembered; routes come and go with the configuration."""


class SplitChooser:
    """Deals the requests of each route by the weights of its parts.

    Smooth weighted turns: after any number of requests each part is within one request of its
    share, where random choice would stray by the square root of the number.
    """

    def __init__(self) -> None:
        self._turns: dict[str, dict[str, float]] = {}

    def choose(self, route: HostRoute) -> str:
        """The service for the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        if len(self._turns) > MOST_ROUTES:
            self._turns.clear()
        turns = self._turns.setdefault(route.name, {})
        for part in route.parts:
            turns[part.service] = turns.get(part.service, 0.0) + part.weight
        total = sum(part.weight for part in route.parts)
        chosen = max(route.parts, key=lambda part: turns[part.service])
        turns[chosen.service] -= total
        return chosen.service
