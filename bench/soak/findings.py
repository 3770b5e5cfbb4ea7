"""What callers and backend servers saw, and what of it breaks a promise."""

import math
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final, NamedTuple

import trio

SETTLE_S: Final = 4.0
"""An instance is in touch when nothing has disturbed it for so long."""

CONFIG_APPLY_S: Final = 2.5
DRAIN_S: Final = 2.5
ROLLBACK_S: Final = 0.25

CRASHES: Final = 3
MOST_LATE_CRASHES: Final = 3

ANSWER_LIMIT_S: Final = 3.0
"""Callers wait so long for an answer."""


class Asked(NamedTuple):
    """A request that a caller sent.

    Attributes:
        instance: The number of the instance that it was sent to.
        process: The number of the process at that place.
        sent_s: When.
        repeatable: It may run more than once.
    """

    instance: int
    process: int
    sent_s: float
    repeatable: bool


class Run(NamedTuple):
    """A request that reached a backend server."""

    request_id: str
    server_id: str
    at_s: float


class Crash(NamedTuple):
    """A request that crashed the backend server that ran it."""

    target: str
    request_id: str
    server_id: str
    at_s: float


class Disturbance(NamedTuple):
    """A time in which a fault, or a planned stop, met an instance."""

    began_s: float
    ended_s: float
    planned: bool = False


class Findings:
    """Collects what was seen; each broken promise is one finding."""

    def __init__(self, *, instances: int, slack: float) -> None:
        """Make it.

        Args:
            instances: How many there are.
            slack: The bounds are so many times the promised ones, for a busy machine.
        """
        self.found: list[str] = []
        self.asked: dict[str, Asked] = {}
        self.runs: list[Run] = []
        self.crashes: list[Crash] = []
        self.refused: set[str] = set()
        self.cut: set[str] = set()
        self.statuses: Counter[int] = Counter()
        self.drained_s: dict[str, float] = {}
        self.confirmed_s: dict[int, float] = {}
        self._slack = slack
        self._disturbed: list[list[Disturbance]] = [[] for _ in range(instances)]
        self._newest: dict[tuple[int, int], tuple[int, float]] = {}

    def note_disturbed(self, instance: int, began_s: float, ended_s: float) -> None:
        """A fault met an instance from one time to another."""
        self._disturbed[instance].append(Disturbance(began_s, ended_s))

    @contextmanager
    def disturbed(self, *instances: int, planned: bool = False) -> Iterator[None]:
        """A fault or a planned stop meets instances for as long as the context lasts."""
        lasting = Disturbance(trio.current_time(), math.inf, planned)
        for number in instances:
            self._disturbed[number].append(lasting)
        yield
        for number in instances:
            self._disturbed[number].remove(lasting)
            self._disturbed[number].append(lasting._replace(ended_s=trio.current_time()))

    def in_touch(self, instance: int, from_s: float, to_s: float) -> bool:
        """Whether nothing disturbed an instance in that time, or just before it."""
        return not any(
            each.began_s <= to_s and each.ended_s + SETTLE_S * self._slack >= from_s
            for each in self._disturbed[instance]
        )

    def note_version(self, asked: Asked, version: int, *, served: bool, answered_s: float) -> None:
        """An instance answered a request on a route that exists since a version."""
        place = (asked.instance, asked.process)
        newest, seen_s = self._newest.get(place, (0, 0.0))
        if served:
            if version > newest:
                self._newest[place] = (version, answered_s)
            return
        if version <= newest and asked.sent_s > seen_s + ROLLBACK_S * self._slack:
            self.found.append(f"{asked}: 404 for version {version} after {newest} was in force")
        due_s = self.confirmed_s[version] + CONFIG_APPLY_S * self._slack
        if asked.sent_s > due_s and self.in_touch(asked.instance, due_s, answered_s):
            late_s = asked.sent_s - self.confirmed_s[version]
            self.found.append(f"{asked}: version {version} not in force after {late_s:.2f} s")

    def note_unserved(self, instance: int, began_s: float, error: str) -> None:
        """A connection was refused or cut, or a request got no answer within its limit."""
        self.statuses[0] += 1
        if self.in_touch(instance, began_s, trio.current_time()):
            self.found.append(f"instance {instance} at {began_s:.2f} s: {error}")

    def check_whole(self, version: int) -> None:
        """Check at the end that the newest process at each place serves the newest version."""
        newest = dict.fromkeys(range(len(self._disturbed)), 0)
        for (instance, _), (served, _) in sorted(self._newest.items()):
            newest[instance] = served
        self.found += [
            f"instance {instance} serves version {served} at the end, not {version}"
            for instance, served in newest.items()
            if served != version
        ]

    def conclude(self) -> None:
        """Check what can only be told when all is over."""
        counts = Counter(each.request_id for each in self.runs)
        for request_id, count in counts.items():
            asked = self.asked.get(request_id)
            if asked is None:
                self.found.append(f"{request_id} ran and was not asked")
            elif not asked.repeatable and count > 1:
                self.found.append(f"{request_id} {asked} ran {count} times")
            elif not asked.repeatable and request_id in self.refused:
                self.found.append(f"{request_id} {asked} was refused and ran")
        for run in self.runs:
            self._check_drained(run)
        for target in {each.target for each in self.crashes}:
            self._check_crashes([each for each in self.crashes if each.target == target])
        for request_id in self.cut & counts.keys():
            self._check_cut(request_id, self.asked[request_id])

    def _check_cut(self, request_id: str, asked: Asked) -> None:
        """A request that a backend server worked on may not be cut by a planned stop alone."""
        met = [
            each
            for each in self._disturbed[asked.instance]
            if each.began_s <= asked.sent_s + ANSWER_LIMIT_S
            and each.ended_s + SETTLE_S * self._slack >= asked.sent_s
        ]
        if met and all(each.planned for each in met):
            self.found.append(f"{request_id} {asked} was cut by a planned stop")

    def _check_crashes(self, crashes: list[Crash]) -> None:
        """A request that has crashed three backend servers may reach few more."""
        if len(crashes) < CRASHES:
            return
        third_s = crashes[CRASHES - 1].at_s
        late = [
            each
            for each in crashes
            if each.at_s > third_s + SETTLE_S * self._slack
            and self.in_touch(self.asked[each.request_id].instance, each.at_s, each.at_s)
        ]
        if len(late) > MOST_LATE_CRASHES:
            self.found.append(f"{late[0].target} crashed {len(crashes)}, {len(late)} of them late")

    def _check_drained(self, run: Run) -> None:
        drained_s = self.drained_s.get(run.server_id)
        asked = self.asked.get(run.request_id)
        if drained_s is None or asked is None:
            return
        due_s = drained_s + DRAIN_S * self._slack
        if run.at_s > due_s and self.in_touch(asked.instance, due_s, run.at_s):
            late_s = run.at_s - drained_s
            self.found.append(f"{run} {asked}: {late_s:.2f} s after the backend server drained")
