"""Draws the schedule of faults and planned work of a soak from a seed."""

from collections.abc import Collection
from random import Random
from typing import Final, Literal, NamedTuple, get_args

from tests.common.partition import FORMS, Form

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

REST: Final[Literal["rest"]] = "rest"
MAX_UNRESTED_S: Final = 3.0
MIN_REST_STEP_S: Final = 1.0
MAX_REST_STEP_S: Final = 6.0
"""The times between two backend servers that begin to ask for rest, and in which one does."""

RETURN: Final[Literal["store-return"]] = "store-return"
MAX_UNRETURNED_S: Final = 12.0
MAX_COPY_AGE_S: Final = 4.0
"""The greatest times between two returns of the store, and of its copy before one."""

CUT: Final[Literal["cut"]] = "cut"
MAX_UNCUT_S: Final = 5.0
SHORT_CUT_FRACTION: Final = 0.3
MIN_SHORT_CUT_S: Final = 0.2
MAX_SHORT_CUT_S: Final = 2.0
MIN_LONG_CUT_S: Final = 6.0
MAX_LONG_CUT_S: Final = 14.0
"""Most cuts outlast the time in which callers may notice them."""

CUT_FROM_PEERS_FRACTION: Final = 0.3
"""The fraction of cuts in which the instances also lose links to some other instances."""

STOPS: Final[Literal["stops"]] = "stops"
MAX_UNSTOPPED_S: Final = 6.0
MAX_STOP_INTERVAL_S: Final = 3.0
"""The greatest times between two series of planned stops, and between two stops of one."""

STOP_PAUSE_FRACTION: Final = 0.3
MAX_STOP_PAUSE_S: Final = 2.0
"""The fraction of planned stops beside which the process is paused, and for how long at most."""

RELOAD: Final[Literal["reload"]] = "reload"
MAX_UNRELOADED_S: Final = 6.0

ODD_OBJECT: Final[Literal["odd-object"]] = "odd-object"
MAX_PLAIN_S: Final = 3.0
MIN_ODD_S: Final = 1.0
MAX_ODD_S: Final = 10.0
"""The times between two objects of another writer, and for which one is in the store."""

Load = Literal["machines", "workspaces"]
LOADS: Final[tuple[Load, ...]] = get_args(Load)
MACHINES, WORKSPACES = LOADS
"""Backend servers that share their machines, and callers of several workspaces."""

SLOW_MACHINE: Final[Literal["slow-machine"]] = "slow-machine"
MAX_UNSLOWED_S: Final = 0.4
MIN_SLOW_S: Final = 0.1
MAX_SLOW_S: Final = 0.8
"""The times between two machines that become slower, and for which one is."""

FLOOD: Final[Literal["flood"]] = "flood"
MAX_UNFLOODED_S: Final = 4.0
MIN_FLOOD_S: Final = 0.5
MAX_FLOOD_S: Final = 4.0
"""The times between two floods of one instance by a workspace, and of one flood."""

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
    kind: (
        FaultKind
        | Literal["config", "backend-reset", "limit", "rest", "store-return", "reload"]
        | Literal["slow-machine", "flood", "odd-object"]
    )
    instance: int
    duration_s: float


class CutStep(NamedTuple):
    """A cut between instances and all backend servers.

    Attributes:
        at_s: The start time, in seconds from the start of the soak.
        kind: The kind of step.
        form: What happens to connections.
        instances: The numbers of the instances that are cut off.
        unreached: The numbers of other instances to which they can't connect, either.
        duration_s: The duration in seconds.
    """

    at_s: float
    kind: Literal["cut"]
    form: Form
    instances: tuple[int, ...]
    unreached: tuple[int, ...]
    duration_s: float


class StopSignals(NamedTuple):
    """A planned stop of one instance, and what happens to its process besides.

    Attributes:
        instance: The number of the instance.
        delay_s: The time from the start of the step to SIGTERM, in seconds.
        pause_s: The time from SIGTERM to the start of a pause, in seconds, negative if it starts
            before; None for no pause.
        paused_s: The duration of the pause, in seconds.
        repeats_s: The times from the first SIGTERM to further ones, in seconds.
        reloads_s: The times from SIGTERM to SIGHUPs with changed settings, in seconds, negative
            for those before it.
    """

    instance: int
    delay_s: float
    pause_s: float | None
    paused_s: float
    repeats_s: tuple[float, ...]
    reloads_s: tuple[float, ...]


class StopsStep(NamedTuple):
    """Planned stops of several instances, in turn or in the same moment.

    Attributes:
        at_s: The start time, in seconds from the start of the soak.
        kind: The kind of step.
        stops: The stops.
    """

    at_s: float
    kind: Literal["stops"]
    stops: tuple[StopSignals, ...]


AnyStep = Step | CutStep | StopsStep


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


def draw_rests(*, seed: int, seconds: float) -> list[Step]:
    """Draw when backend servers ask for rest, independently of the seed's other steps."""
    random = Random(f"{seed}-{REST}")
    steps = []
    at_s = 0.0
    while (at_s := at_s + random.uniform(0.1, MAX_UNRESTED_S)) < seconds:
        duration_s = min(random.uniform(MIN_REST_STEP_S, MAX_REST_STEP_S), seconds - at_s)
        steps.append(Step(at_s, REST, 0, duration_s))
    return steps


def draw_returns(*, seed: int, seconds: float) -> list[Step]:
    """Draw when the store makes the copies that it returns to, apart from the other steps.

    The duration of a step is the age of the copy when the store goes away.
    """
    random = Random(f"{seed}-{RETURN}")
    steps = []
    at_s = 0.0
    while (at_s := at_s + random.uniform(1.0, MAX_UNRETURNED_S)) < seconds:
        duration_s = min(random.uniform(0.1, MAX_COPY_AGE_S), seconds - at_s)
        steps.append(Step(at_s, RETURN, 0, duration_s))
        at_s += duration_s
    return steps


def draw_cuts(*, seed: int, seconds: float, instances: int, domains: int) -> list[CutStep]:
    """Draw cuts of one instance, a failure domain or all, independently of the other steps.

    Args:
        seed: The seed.
        seconds: The duration of the soak.
        instances: The number of instances.
        domains: The number of failure domains; instances belong to them in turn.
    """
    random = Random(f"{seed}-{CUT}")
    steps = []
    at_s = 0.0
    while (at_s := at_s + random.uniform(0.5, MAX_UNCUT_S)) < seconds:
        first = random.randrange(instances)
        extents = [[first], range(first % domains, instances, domains), range(instances)]
        (cut,) = random.choices(extents, weights=(4, 4, 1))
        others = [number for number in range(instances) if number not in cut]
        is_cut_from_peers = random.random() < CUT_FROM_PEERS_FRACTION
        unreached = random.sample(others, len(others) // 2) if is_cut_from_peers else []
        is_short = random.random() < SHORT_CUT_FRACTION
        shortest_s, longest_s = (
            (MIN_SHORT_CUT_S, MAX_SHORT_CUT_S) if is_short else (MIN_LONG_CUT_S, MAX_LONG_CUT_S)
        )
        duration_s = min(random.uniform(shortest_s, longest_s), seconds - at_s)
        form = random.choice(FORMS)
        steps.append(CutStep(at_s, CUT, form, tuple(cut), tuple(unreached), duration_s))
        at_s += duration_s
    return steps


def draw_stops(*, seed: int, seconds: float, instances: int) -> list[StopsStep]:
    """Draw planned stops as the platform does them, independently of the seed's other steps."""
    random = Random(f"{seed}-{STOPS}")
    steps = []
    at_s = 0.0
    while (at_s := at_s + random.uniform(0.5, MAX_UNSTOPPED_S)) < seconds:
        most = min(instances, max(2, instances // 3))
        stopped = random.sample(range(instances), random.choice((1, random.randint(1, most))))
        interval_s = random.choice((0.0, random.uniform(0.05, MAX_STOP_INTERVAL_S)))
        # Those that are left out when a series is longer than the soak are drawn all the same.
        stops = [
            _draw_stop(random, number, position * interval_s)
            for position, number in enumerate(stopped)
        ]
        steps.append(
            StopsStep(at_s, STOPS, tuple(stop for stop in stops if at_s + stop.delay_s <= seconds))
        )
    return steps


def _draw_stop(random: Random, instance: int, delay_s: float) -> StopSignals:
    pause_s = random.choice((random.uniform(-1.5, 0.0), 0.0, random.uniform(0.0, 5.0)))
    paused_s = random.uniform(0.1, MAX_STOP_PAUSE_S)
    is_paused = random.random() < STOP_PAUSE_FRACTION
    repeats_s = [random.uniform(0.0, 6.0) for _ in range(random.choice((0, 0, 1, 2)))]
    reloads_s = [random.uniform(-1.5, 6.0) for _ in range(random.choice((0, 0, 1, 2)))]
    return StopSignals(
        instance=instance,
        delay_s=delay_s,
        pause_s=pause_s if is_paused else None,
        paused_s=paused_s,
        repeats_s=tuple(sorted(repeats_s)),
        reloads_s=tuple(sorted(reloads_s)),
    )


def draw_reloads(*, seed: int, seconds: float, instances: int) -> list[Step]:
    """Draw when instances reload changed settings, independently of the seed's other steps."""
    random = Random(f"{seed}-{RELOAD}")
    steps = []
    at_s = 0.0
    while (at_s := at_s + random.uniform(0.5, MAX_UNRELOADED_S)) < seconds:
        steps.append(Step(at_s, RELOAD, random.randrange(instances), 0.0))
    return steps


def draw_odd_objects(*, seed: int, seconds: float) -> list[Step]:
    """Draw when another writer stores an object, independently of the seed's other steps."""
    random = Random(f"{seed}-{ODD_OBJECT}")
    steps = []
    at_s = 0.0
    while (at_s := at_s + random.uniform(0.1, MAX_PLAIN_S)) < seconds:
        duration_s = min(random.uniform(MIN_ODD_S, MAX_ODD_S), seconds - at_s)
        steps.append(Step(at_s, ODD_OBJECT, 0, duration_s))
    return steps


def draw_all(*, seed: int, seconds: float, instances: int, domains: int) -> list[AnyStep]:
    """Draw the steps of a seed, of all kinds, in chronological order.

    Args:
        seed: The seed.
        seconds: The duration of the soak.
        instances: The number of instances.
        domains: The number of failure domains.
    """
    steps: list[AnyStep] = [
        *draw_schedule(seed=seed, seconds=seconds, instances=instances),
        *draw_backend_faults(seed=seed, seconds=seconds),
        *draw_limits(seed=seed, seconds=seconds),
        *draw_rests(seed=seed, seconds=seconds),
        *draw_returns(seed=seed, seconds=seconds),
        *draw_odd_objects(seed=seed, seconds=seconds),
        *draw_cuts(seed=seed, seconds=seconds, instances=instances, domains=domains),
        *draw_stops(seed=seed, seconds=seconds, instances=instances),
        *draw_reloads(seed=seed, seconds=seconds, instances=instances),
    ]
    return sorted(steps, key=lambda step: step.at_s)


def draw_loads(*, seed: int, seconds: float, instances: int, loads: Collection[Load]) -> list[Step]:
    """Draw when machines are slower and a workspace floods, apart from the seed's other steps.

    Args:
        seed: The seed.
        seconds: The duration of the soak.
        instances: The number of instances.
        loads: The kinds of load for which steps are drawn.
    """
    steps: list[Step] = []
    for load, kind, max_gap_s, min_s, max_s in (
        (MACHINES, SLOW_MACHINE, MAX_UNSLOWED_S, MIN_SLOW_S, MAX_SLOW_S),
        (WORKSPACES, FLOOD, MAX_UNFLOODED_S, MIN_FLOOD_S, MAX_FLOOD_S),
    ):
        random = Random(f"{seed}-{kind}")
        at_s = 0.0
        while load in loads and (at_s := at_s + random.uniform(0.02, max_gap_s)) < seconds:
            duration_s = min(random.uniform(min_s, max_s), seconds - at_s)
            steps.append(Step(at_s, kind, random.randrange(instances), duration_s))
    return sorted(steps, key=lambda step: step.at_s)
