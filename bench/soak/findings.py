"""Records what callers and backend servers observe, and finds violated guarantees."""

import math
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final, NamedTuple

import trio

from bench.soak.planned_stops import Ended, Period, StopChecks

SETTLE_S: Final = 4.0
"""The time after the last disturbance until an instance must meet its guarantees again."""

CONFIG_APPLY_S: Final = 2.5
DRAIN_S: Final = 2.5
ROLLBACK_S: Final = 0.25

QUARANTINE_CRASHES: Final = 3
MAX_LATE_CRASHES: Final = 3

LIMIT_WINDOW_S: Final = 4.0
LIMIT_OVERAGE: Final = 1.5
LIMIT_SLACK: Final = 5
"""The bound on the requests of a window: the overage times what the limit allows, and the slack."""

REST_SLACK_S: Final = 0.5
MAX_SENT_IN_REST: Final = 2

CUT_SHARE: Final = 2 / 3
CUT_SLACK: Final = 10
CUT_FAILED_TRIES: Final = 50
"""Instances that are cut off have to serve this share of what the others serve, or fail no more
than the slack and one in so many of all requests."""

SERVED: Final = (200, 404)
"""The statuses of requests that were served; 404 for routes that are probed before they are there.
"""

NOT_RUN: Final = (408, 421, 429, 503)
"""The statuses which guarantee that a request has not run and never will."""

MAX_PAST_TIMEOUT_S: Final = 0.5
"""The time past its route's timeout in which every request must have been answered."""

ANSWER_TIMEOUT_S: Final = 3.0
"""The time for which callers wait for an answer."""


class SentRequest(NamedTuple):
    """A request that a caller sent.

    Attributes:
        instance: The number of the instance to which it was sent.
        process: The number of the process of that instance.
        sent_s: The time at which it was sent, in seconds.
        idempotent: Whether it may run more than once.
    """

    instance: int
    process: int
    sent_s: float
    idempotent: bool


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
    """A period in which a fault or a planned stop affects an instance.

    Attributes:
        started_s: The start, in seconds.
        ended_s: The end, in seconds.
        planned: Whether it is a planned stop.
        of_process: Whether it stops or pauses the process, and not only its calls to the store.
    """

    started_s: float
    ended_s: float
    planned: bool = False
    of_process: bool = False


class LimitPeriod(NamedTuple):
    """A period in which a backend server states a limit.

    Attributes:
        server_id: The backend server.
        per_s: The requests a second that it takes from all instances together.
        started_s: The start, in seconds.
        ended_s: The end, in seconds.
    """

    server_id: str
    per_s: float
    started_s: float
    ended_s: float


class RestPeriod(NamedTuple):
    """A period for which a backend server has asked an instance for rest.

    Attributes:
        server_id: The backend server.
        instance: The number of the instance.
        started_s: When it was asked, in seconds.
        ended_s: The end of the rest, in seconds.
    """

    server_id: str
    instance: int
    started_s: float
    ended_s: float


class TurnedAway(NamedTuple):
    """A request of an instance that a backend server turned away, since it rests."""

    server_id: str
    instance: int
    at_s: float


class CutPeriod(NamedTuple):
    """A period in which instances are cut off from all backend servers.

    Attributes:
        instances: The numbers of the instances.
        started_s: The start, in seconds.
        ended_s: The end, in seconds.
    """

    instances: tuple[int, ...]
    started_s: float
    ended_s: float


class Findings:
    """Collects observations, and one message for each violated guarantee."""

    def __init__(self, *, instances: int, slack: float) -> None:
        """Initialise the findings.

        Args:
            instances: The number of instances.
            slack: The factor on all time bounds, for a busy machine.
        """
        self.violations: list[str] = []
        self.sent: dict[str, SentRequest] = {}
        self.runs: list[Run] = []
        self.crashes: list[Crash] = []
        self.refused: set[str] = set()
        self.cut_requests: set[str] = set()
        self.statuses: Counter[int] = Counter()
        self.answered: dict[str, int] = {}
        self.cut_periods: list[CutPeriod] = []
        self.drained_s: dict[str, float] = {}
        self.limit_periods: list[LimitPeriod] = []
        self.rest_periods: list[RestPeriod] = []
        self.turned_away: list[TurnedAway] = []
        self.confirmed_s: dict[int, float] = {}
        self.stop_checks = StopChecks(slack=slack)
        self._slack = slack
        self._disturbed: list[list[Disturbance]] = [[] for _ in range(instances)]
        self._newest: dict[tuple[int, int], tuple[int, float]] = {}

    def record_disturbance(self, instance: int, started_s: float, ended_s: float) -> None:
        """Record that a fault affected an instance during a period."""
        self._disturbed[instance].append(Disturbance(started_s, ended_s, of_process=True))
        self.stop_checks.pauses[instance].append(Period(started_s, ended_s))

    @contextmanager
    def disturbance(
        self, *instances: int, planned: bool = False, of_process: bool = False
    ) -> Iterator[None]:
        """Record that a fault or planned stop affects instances while the context is active."""
        ongoing = Disturbance(trio.current_time(), math.inf, planned, of_process)
        for number in instances:
            self._disturbed[number].append(ongoing)
        try:
            yield
        finally:
            for number in instances:
                self._disturbed[number].remove(ongoing)
                self._disturbed[number].append(ongoing._replace(ended_s=trio.current_time()))

    def is_undisturbed(self, instance: int, from_s: float, to_s: float) -> bool:
        """Return whether nothing disturbed an instance in a period or ``SETTLE_S`` before it."""
        return not any(
            disturbance.started_s <= to_s and disturbance.ended_s + SETTLE_S * self._slack >= from_s
            for disturbance in self._disturbed[instance]
        )

    def record_answer(self, request_id: str, target: str, status: int, body: bytes) -> None:
        """Record an answer and the guarantees that it violates."""
        self.statuses[status] += 1
        self.answered[request_id] = status
        if status == 200 and body != f"{request_id} {target}".encode():
            self.violations.append(f"{request_id} got the answer of another request: {body!r}")
        if status in NOT_RUN:
            self.refused.add(request_id)
        if status == 503 and b"quarantined" in body:
            self.violations.append(f"{request_id}: {target} was refused as quarantined")

    def record_version(
        self, sent: SentRequest, version: int, *, served: bool, answered_s: float
    ) -> None:
        """Record an instance's answer to a request on a route that a version added."""
        process_key = (sent.instance, sent.process)
        newest, seen_s = self._newest.get(process_key, (0, 0.0))
        if served:
            if version > newest:
                self._newest[process_key] = (version, answered_s)
            return
        if version <= newest and sent.sent_s > seen_s + ROLLBACK_S * self._slack:
            self.violations.append(f"{sent}: 404 for version {version} after {newest} was in force")
        due_s = self.confirmed_s[version] + CONFIG_APPLY_S * self._slack
        if sent.sent_s > due_s and self.is_undisturbed(sent.instance, due_s, answered_s):
            late_s = sent.sent_s - self.confirmed_s[version]
            self.violations.append(f"{sent}: version {version} not in force after {late_s:.2f} s")

    def record_unanswered(self, instance: int, started_s: float, error: str) -> None:
        """Record that a connection was refused or cut, or that an answer did not come in time."""
        self.statuses[0] += 1
        if self.is_undisturbed(instance, started_s, trio.current_time()):
            self.violations.append(f"instance {instance} at {started_s:.2f} s: {error}")

    def check_final_versions(self, version: int) -> None:
        """Check that the newest process of each instance serves the newest version at the end."""
        newest = dict.fromkeys(range(len(self._disturbed)), 0)
        for (instance, _), (served, _) in sorted(self._newest.items()):
            newest[instance] = served
        self.violations += [
            f"instance {instance} serves version {served} at the end, not {version}"
            for instance, served in newest.items()
            if served != version
        ]

    def finish_checks(self) -> None:
        """Check the guarantees that can only be judged at the end of the soak."""
        counts = Counter(run.request_id for run in self.runs)
        for request_id, count in counts.items():
            sent = self.sent.get(request_id)
            if sent is None:
                self.violations.append(f"{request_id} ran although no caller sent it")
            elif not sent.idempotent and count > 1:
                self.violations.append(f"{request_id} {sent} ran {count} times")
            elif request_id in self.refused:
                self.violations.append(f"{request_id} {sent} ran although it was refused")
        for run in self.runs:
            self._check_drained(run)
        self._check_periods()
        for target in {crash.target for crash in self.crashes}:
            self._check_crashes([crash for crash in self.crashes if crash.target == target])
        for request_id in self.cut_requests & counts.keys():
            self._check_cut_request(request_id, self.sent[request_id])
        for ended in self.stop_checks.ended:
            self._check_answered_in_time(ended)
        self.violations += self.stop_checks.violations()

    def _check_answered_in_time(self, ended: Ended) -> None:
        """Check that a request ended in time at an instance whose process ran on."""
        took_s = ended.ended_s - ended.sent_s
        if took_s <= ended.limit_s + MAX_PAST_TIMEOUT_S * self._slack or ended.queued:
            return
        if self._ran_on(ended.instance, ended.sent_s, ended.ended_s):
            self.violations.append(f"{ended}: ended {took_s:.2f} s after it was sent")

    def _check_periods(self) -> None:
        for period in self.limit_periods:
            self._check_limit(period)
        for rest in self.rest_periods:
            self._check_rest(rest)
        for cut in self.cut_periods:
            self._check_cut(cut)

    def _check_cut_request(self, request_id: str, sent: SentRequest) -> None:
        """Check that no request that ran was cut by nothing but a planned stop."""
        disturbances = [
            disturbance
            for disturbance in self._disturbed[sent.instance]
            if disturbance.started_s <= sent.sent_s + ANSWER_TIMEOUT_S
            and disturbance.ended_s + SETTLE_S * self._slack >= sent.sent_s
        ]
        if disturbances and all(disturbance.planned for disturbance in disturbances):
            self.violations.append(f"{request_id} {sent} was cut by a planned stop")

    def _check_crashes(self, crashes: list[Crash]) -> None:
        """Check that a request that crashed three backend servers reaches few more."""
        if len(crashes) < QUARANTINE_CRASHES:
            return
        third_s = crashes[QUARANTINE_CRASHES - 1].at_s
        late_crashes = [
            crash
            for crash in crashes
            if crash.at_s > third_s + SETTLE_S * self._slack
            and self.is_undisturbed(self.sent[crash.request_id].instance, crash.at_s, crash.at_s)
        ]
        if len(late_crashes) > MAX_LATE_CRASHES:
            self.violations.append(
                f"{late_crashes[0].target} crashed {len(crashes)}, {len(late_crashes)} of them late"
            )

    def _check_cut(self, cut: CutPeriod) -> None:
        """Check that instances that are cut off serve their callers like the others."""
        at_cut, at_others = Counter[bool](), Counter[bool]()
        from_s = cut.started_s + SETTLE_S * self._slack
        for request_id, sent in self.sent.items():
            if not from_s <= sent.sent_s < cut.ended_s or not self._ran_on(
                sent.instance, cut.started_s, sent.sent_s
            ):
                continue
            found = at_cut if sent.instance in cut.instances else at_others
            found[self.answered.get(request_id) in SERVED] += 1
        if not at_cut or not at_others:
            return
        tries, failed = at_cut.total() + at_others.total(), at_cut[False]
        share = at_cut[True] / at_cut.total()
        share_of_others = at_others[True] / at_others.total()
        if failed > CUT_SLACK + tries / CUT_FAILED_TRIES and share < CUT_SHARE * share_of_others:
            self.violations.append(f"{cut}: {at_cut} served there, {at_others} elsewhere")

    def _check_limit(self, period: LimitPeriod) -> None:
        """Check that a backend server got no more than it stated, from instances that ran on."""
        from_s = period.started_s + SETTLE_S * self._slack
        times = sorted(
            run.at_s
            for run in self.runs
            if run.server_id == period.server_id
            and from_s <= run.at_s <= period.ended_s
            and run.request_id in self.sent
            and self._ran_on(self.sent[run.request_id].instance, period.started_s, run.at_s)
        )
        allowed = LIMIT_OVERAGE * period.per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        most = max((sum(t <= at < t + LIMIT_WINDOW_S for at in times) for t in times), default=0)
        if most > allowed:
            self.violations.append(f"{period}: {most} requests in a window, {allowed} allowed")

    def rests(self, server_id: str, instance: int, at_s: float) -> bool:
        """Return whether a backend server has asked an instance for rest."""
        return any(
            rest.server_id == server_id and rest.instance == instance and at_s < rest.ended_s
            for rest in self.rest_periods
        )

    def _check_rest(self, rest: RestPeriod) -> None:
        """Check that an instance whose process ran on sent hardly anything in a rest."""
        if not self._ran_on(rest.instance, rest.started_s, rest.ended_s):
            return
        cuts = [cut for cut in self.cut_periods if rest.instance in cut.instances]
        if any(cut.started_s <= rest.ended_s for cut in cuts):
            return
        count = sum(
            each.server_id == rest.server_id
            and each.instance == rest.instance
            and rest.started_s + REST_SLACK_S * self._slack < each.at_s < rest.ended_s
            for each in self.turned_away
        )
        if count > MAX_SENT_IN_REST:
            self.violations.append(f"{rest}: {count} requests, {MAX_SENT_IN_REST} allowed")

    def _ran_on(self, instance: int, from_s: float, to_s: float) -> bool:
        """Return whether no process of an instance was stopped or paused in a period."""
        return not any(
            disturbance.of_process
            and disturbance.started_s <= to_s
            and disturbance.ended_s + SETTLE_S * self._slack >= from_s
            for disturbance in self._disturbed[instance]
        )

    def _check_drained(self, run: Run) -> None:
        drained_s = self.drained_s.get(run.server_id)
        sent = self.sent.get(run.request_id)
        if drained_s is None or sent is None:
            return
        due_s = drained_s + DRAIN_S * self._slack
        if run.at_s > due_s and self.is_undisturbed(sent.instance, due_s, run.at_s):
            late_s = run.at_s - drained_s
            self.violations.append(f"{run} {sent}: {late_s:.2f} s after the backend server drained")
