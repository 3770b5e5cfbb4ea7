"""Draws the schedule of faults and planned work of a soak from a seed."""

from random import Random
from typing import Final, Literal, NamedTuple, get_args

FaultKind = Literal[
    "pause", "kill", "stop", "store-cut", "store-freeze", "store-delay", "store-refuses", "drain"
]
FAULTS: Final[tuple[FaultKind, ...]] = get_args(FaultKind)

BACKEND_FAULT: Final[Literal["backend-reset"]] = "backend-reset"
MAX_QUIET_S: Final = 8.0

LIMIT: Final[Literal["limit"]] = "limit"
MAX_UNLIMITED_S: Final = 4.0
MIN_LIMIT_S: Final = 6.0
MAX_LIMIT_S: Final = 20.0
"""The times between two limits that backend servers state, and of one limit."""

MAX_GAP_S: Final = 2.0
MAX_FAULT_S: Final = 4.0
CONFIG_FRACTION: Final = 0.4
"""The fraction of steps that change the configuration."""


class Step(NamedTuple):
    """One fault or piece of planned work.

    Attributes:
        at_s: The start time, in seconds from the start of the soak.
        kind: The kind of fault or work.
        instance: The number of the affected instance, for kinds that affect a single one.
        duration_s: The duration in seconds.
    """

    at_s: float
    kind: FaultKind | Literal["config", "backend-reset", "limit"]
    instance: int
    duration_s: float


def draw_schedule(
    *, seed: int, seconds: float, instances: int, faults: tuple[FaultKind, ...] = FAULTS
) -> list[Step]:
    """Draw the steps of a soak; faults may overlap, and none outlasts the soak."""
    random = Random(seed)
    steps = []
    at_s = 0.0
    while (at_s := at_s + random.uniform(0.05, MAX_GAP_S)) < seconds:
        kind = "config" if random.random() < CONFIG_FRACTION else random.choice(faults)
        duration_s = min(random.uniform(0.05, MAX_FAULT_S), seconds - at_s)
        steps.append(Step(at_s, kind, random.randrange(instances), duration_s))
    return steps


def draw_backend_faults(*, seed: int, seconds: float) -> list[Step]:
    """Draw when backend servers reset connections, independently of the seed's other steps."""
    random = Random(f"{seed}-{BACKEND_FAULT}")
    steps = []
    at_s = 0.0
    while (at_s := at_s + random.uniform(1.0, MAX_QUIET_S)) < seconds:
        duration_s = min(random.uniform(0.05, MAX_FAULT_S), seconds - at_s)
        steps.append(Step(at_s, BACKEND_FAULT, 0, duration_s))
    return steps


def draw_limits(*, seed: int, seconds: float) -> list[Step]:
    """Draw when backend servers state limits, independently of the seed's other steps."""
    random = Random(f"{seed}-{LIMIT}")
    steps = []
    at_s = 0.0
    while (at_s := at_s + random.uniform(0.5, MAX_UNLIMITED_S)) < seconds:
        duration_s = min(random.uniform(MIN_LIMIT_S, MAX_LIMIT_S), seconds - at_s)
        steps.append(Step(at_s, LIMIT, 0, duration_s))
    return steps
