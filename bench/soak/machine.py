"""Backend servers that share their machines with others, and report their load."""

import math
from random import Random
from typing import Final

import trio

MAX_SERVICE_S: Final = 0.05
SLOW: Final = "/slow-"
"""A target with this text and a number asks for so many milliseconds of work."""

SLOTS: Final = 2
MAX_WAITING: Final = 2
WORK_FACTOR: Final = 3.0
"""The slots and queue of a server that shares its machine, and how much longer it works than
others. With them ten callers, which send one request each at a time, bring it near its bounds."""

NEARLY_FULL_FACTOR: Final = 1.5
"""How much longer a server works on a request that takes its last free slot."""

MIN_SLOW_PACE: Final = 1.5
MAX_SLOW_PACE: Final = 5.0
NORMAL_PACE: Final = 100

MALFORMED_FRACTION: Final = 0.02
MALFORMED_REPORTS: Final = (
    "",
    "1,0",
    "1,0,2,100,7",
    "1,0,0,100",
    "1,0,2,0",
    "1,0,2,-100",
    "-1,0,2,100",
    "1.5,0,2,100",
    "1,0,2,1e2",
    "9999999999,0,2,100",
    "1;0;2;100",
    "busy",
)
"""Load reports that have to be ignored, and the fraction of responses that have one."""


class Machine:
    """The machine of a backend server, which limits what it runs and how fast."""

    def __init__(self, *, shared: bool, random: Random) -> None:
        """Initialise a machine at normal pace.

        Args:
            shared: Whether the server shares it with others. Otherwise it runs any number of
                requests, always at normal pace, and reports nothing.
            random: The source of choices.
        """
        self.slots = trio.CapacityLimiter(SLOTS if shared else math.inf)
        self._shared = shared
        self._random = random
        self._slow_paces: list[float] = []

    @property
    def is_full(self) -> bool:
        """Whether the server has to refuse further requests."""
        return self._shared and self.slots.statistics().tasks_waiting >= MAX_WAITING

    @property
    def load_headers(self) -> list[str]:
        """The headers that report the load; some are malformed."""
        if not self._shared:
            return []
        if self._random.random() < MALFORMED_FRACTION:
            return [f"X-Server-Load: {self._random.choice(MALFORMED_REPORTS)}"]
        running, waiting = self.slots.borrowed_tokens, self.slots.statistics().tasks_waiting
        return [f"X-Server-Load: {running},{waiting},{SLOTS},{self._pace * NORMAL_PACE:.0f}"]

    async def slow_down(self, duration_s: float) -> None:
        """Run slower for a time."""
        pace = self._random.uniform(MIN_SLOW_PACE, MAX_SLOW_PACE)
        self._slow_paces.append(pace)
        await trio.sleep(duration_s)
        self._slow_paces.remove(pace)

    def draw_service_s(self, target: str) -> float:
        """Return how long the server works on a request for which it has taken a slot."""
        drawn_s = self._random.uniform(0.0, MAX_SERVICE_S)
        if SLOW in target:
            return float(target.partition(SLOW)[2].partition("/")[0]) / 1000
        if not self._shared:
            return drawn_s
        crowding = NEARLY_FULL_FACTOR if self.slots.available_tokens == 0 else 1.0
        return drawn_s * WORK_FACTOR * self._pace * crowding

    @property
    def _pace(self) -> float:
        return max(self._slow_paces, default=1.0)
