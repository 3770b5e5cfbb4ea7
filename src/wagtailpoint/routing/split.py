"""Weighted splits of a route's requests between services."""

from collections.abc import Sequence
from random import Random
from typing import Final

from wagtailpoint.routing.table import HostRoute, SplitPart

MAX_ROUTES: Final = 10_000
"""Maximum number of routes with a remembered turn; routes come and go with the configuration."""

MAX_SKIPPED_TURNS: Final = 64
"""Upper bound, exclusive, of the turns that are skipped at the start of a split."""


class SplitChooser:
    """Distributes the requests of each route by the weights of its parts.

    It uses smooth weighted round-robin: after any number of requests each part is within one
    request of its share, whereas random choice would deviate by the square root of that number.
    """

    def __init__(self, *, random: Random) -> None:
        """Initialise the chooser.

        Args:
            random: Selects the turn that a split begins with. If all instances began with the part
                of the largest weight, it would get nearly all requests of many instances with few
                requests each.
        """
        self._random = random
        self._turns: dict[str, _Turns] = {}

    def choose(self, route: HostRoute) -> str:
        """Return the service for the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        turns = self._turns.get(route.name)
        if turns is None or turns.parts != route.parts:
            turns = self._begin(route)
        return turns.next()

    def _begin(self, route: HostRoute) -> "_Turns":
        if len(self._turns) >= MAX_ROUTES:
            self._turns.clear()
        turns = self._turns[route.name] = _Turns(parts=route.parts)
        for _ in range(self._random.randrange(MAX_SKIPPED_TURNS)):
            turns.next()
        return turns


class _Turns:
    """Smooth weighted round-robin for the parts of one split."""

    def __init__(self, *, parts: Sequence[SplitPart]) -> None:
        self.parts = parts
        self._credits = dict.fromkeys((part.service for part in parts), 0.0)
        self._total = sum(part.weight for part in parts)

    def next(self) -> str:
        """Return the service whose turn it is."""
        for part in self.parts:
            self._credits[part.service] += part.weight
        chosen = max(self._credits, key=self._credits.__getitem__)
        self._credits[chosen] -= self._total
        return chosen
