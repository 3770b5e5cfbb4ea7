"""What happens in a soak and when, drawn from a seed before it starts."""

from random import Random
from typing import Final, Literal, NamedTuple, get_args

FaultKind = Literal[
    "pause", "kill", "stop", "store-cut", "store-freeze", "store-delay", "store-refuses", "drain"
]
FAULTS: Final[tuple[FaultKind, ...]] = get_args(FaultKind)

BACKEND_FAULT: Final[Literal["backend-reset"]] = "backend-reset"
LONGEST_QUIET_S: Final = 8.0

LONGEST_GAP_S: Final = 2.0
LONGEST_FAULT_S: Final = 4.0
CONFIG_PART: Final = 0.4
"""The part of the steps that change the configuration."""


class Step(NamedTuple):
    """One fault or piece of planned work.

    Attributes:
        at_s: When it begins, in seconds from the start.
        kind: What happens.
        instance: The number of the instance that it meets, where it meets one.
        for_s: How long it lasts, in seconds.
    """

    at_s: float
    kind: FaultKind | Literal["config", "backend-reset"]
    instance: int
    for_s: float


def draw_schedule(
    *, seed: int, seconds: float, instances: int, faults: tuple[FaultKind, ...] = FAULTS
) -> list[Step]:
    """Draw the steps of a soak; faults may overlap, and none lasts beyond its end."""
    random = Random(seed)
    steps = []
    at_s = 0.0
    while (at_s := at_s + random.uniform(0.05, LONGEST_GAP_S)) < seconds:
        kind = "config" if random.random() < CONFIG_PART else random.choice(faults)
        for_s = min(random.uniform(0.05, LONGEST_FAULT_S), seconds - at_s)
        steps.append(Step(at_s, kind, random.randrange(instances), for_s))
    return steps


def draw_backend_faults(*, seed: int, seconds: float) -> list[Step]:
    """Draw when backend servers reset connections, apart from the other steps of the seed."""
    random = Random(f"{seed}-{BACKEND_FAULT}")
    steps = []
    at_s = 0.0
    while (at_s := at_s + random.uniform(1.0, LONGEST_QUIET_S)) < seconds:
        for_s = min(random.uniform(0.05, LONGEST_FAULT_S), seconds - at_s)
        steps.append(Step(at_s, BACKEND_FAULT, 0, for_s))
    return steps
