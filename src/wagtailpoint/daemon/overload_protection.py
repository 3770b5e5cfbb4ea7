"""The protection of an instance that is short of processor time: measurement, gate, load."""

import math
from collections.abc import Callable
from random import Random

import trio

from wagtailpoint.admission.loop_overload import OVERLOAD_FRACTION, LoopOverload
from wagtailpoint.daemon.loop_delay import LoopDelay
from wagtailpoint.observe.log import log_event
from wagtailpoint.proxy.overload_gate import OverloadGate
from wagtailpoint.routing.table import RouteTable


class OverloadProtection:
    """Measures the delay of the event loop and provides what depends on it."""

    def __init__(
        self,
        *,
        table: Callable[[], RouteTable | None],
        is_enabled: Callable[[str], bool],
        has_alternative: Callable[[], bool],
        random: Random,
        delay: LoopDelay | None = None,
    ) -> None:
        """Initialise the parts; the measurement begins when the protection is on for a service.

        Args:
            table: Returns the route table in force; None before a configuration is known.
            is_enabled: Returns whether the protection is on for a service.
            has_alternative: Returns whether lookups name another instance to callers of this one.
            random: The source of jitter.
            delay: The delay of the event loop; by default a new one.
        """
        self._table = table
        self._is_enabled = is_enabled
        self._delay = delay if delay is not None else LoopDelay()
        self._gate = OverloadGate(
            overload=LoopOverload(
                delay_s=self._delay.read,
                shortest_objective_s=self._objective_s,
                random=random,
            ),
            is_enabled=is_enabled,
            has_alternative=has_alternative,
        )
        self._seen_table: RouteTable | None = None
        self._shortest_objective_s = math.inf
        self._is_overloaded = False
        self._is_measuring = False

    @property
    def gate(self) -> OverloadGate:
        """Refuses requests that this instance can't answer in time."""
        return self._gate

    @property
    def gauges(self) -> dict[str, float]:
        """The delay of the event loop in seconds."""
        return {"loop_delay_s": self._delay.read(trio.current_time())}

    def load(self) -> float:
        """Return the least load to report; call periodically.

        Begins to measure when the protection is on for the first time, since each turn of the event
        loop is more expensive then, and logs where an overload begins and ends.

        Returns:
            A load from 0 to 1; 0 where the protection is on for no service.
        """
        objective_s = self._objective_s()
        if not self._is_measuring and objective_s < math.inf:
            self._is_measuring = True
            trio.lowlevel.add_instrument(self._delay)
        delay_s = self._delay.read(trio.current_time())
        is_overloaded = delay_s > OVERLOAD_FRACTION * objective_s
        if is_overloaded != self._is_overloaded:
            self._is_overloaded = is_overloaded
            event = "loop-delay-begins" if is_overloaded else "loop-delay-ends"
            level = "WARNING" if is_overloaded else "INFO"
            log_event(event, level=level, delay_s=round(delay_s, 3), objective_s=objective_s)
        return self._delay.load(objective_s)

    def _objective_s(self) -> float:
        """Return the shortest objective of the configuration; infinite if nothing is protected."""
        table = self._table()
        if table is None or not any(self._is_enabled(service) for service in table.services):
            return math.inf
        if table is not self._seen_table:
            self._seen_table = table
            objectives = (route.objective_s for routes in table.hosts.values() for route in routes)
            self._shortest_objective_s = min(objectives, default=math.inf)
        return self._shortest_objective_s
