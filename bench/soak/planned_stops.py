"""Records planned stops and the requests around them, and finds requests that a stop has cut."""

from collections import Counter, defaultdict
from collections.abc import Sequence
from enum import StrEnum
from typing import Final, NamedTuple

GRACE_S: Final = 6.0
"""The time from SIGTERM until the platform kills the process."""

SETTLE_WINDOW_S: Final = 4.0
LOSS_SLACK_S: Final = 0.2
AFTER_GRACE_S: Final = 1.0
"""A connection that ends later than this after the grace period was not ended by the stop."""

EXCUSED_SENT_S: Final = 3.0
EXCUSED_WORK_S: Final = GRACE_S * 5 / 6
"""The users' excuse: a request sent no later than ``EXCUSED_SENT_S`` after SIGTERM whose backend
server was still at work ``EXCUSED_WORK_S`` after it."""

LIMIT_SLACK_S: Final = 0.1
"""A request that ends this much before its limit counts as having reached it."""

MIN_RUNNING_S: Final = 1.0
"""The time that a process has to have run without a pause before the platform kills it, for it to
be at fault for not having ended."""

MAX_REFUSAL_S: Final = 0.5
"""The time within which a stopping instance refuses a request."""

RELOAD_WINDOW_S: Final = 2.5
"""A reload of the settings may have cut a request that was sent up to this long after it."""


class WorkEnd(StrEnum):
    """How the work of a backend server on a request ended."""

    ANSWERED = "answered"
    LEFT = "the instance left"
    BROKE_OFF = "the backend server broke off"


class Work(NamedTuple):
    """The work of a backend server on a request.

    Attributes:
        request_id: The request.
        ended_s: When the work ended, in seconds.
        end: How it ended.
    """

    request_id: str
    ended_s: float
    end: WorkEnd


class Ended(NamedTuple):
    """The end of a request as its caller saw it.

    Attributes:
        request_id: The request.
        instance: The number of the instance to which it was sent.
        process: The number of the process of that instance.
        sent_s: When it was sent, in seconds.
        ended_s: When its answer was complete or its connection ended, in seconds.
        limit_s: The time from its sending to its deadline or its route's timeout, in seconds.
        status: The status of the answer; 0 if there was no complete one.
        refused_by_stop: Whether the answer is the refusal of a stopping instance.
        queued: Whether it was sent behind another request on its connection.
    """

    request_id: str
    instance: int
    process: int
    sent_s: float
    ended_s: float
    limit_s: float
    status: int
    refused_by_stop: bool = False
    queued: bool = False


class Period(NamedTuple):
    """A period, in seconds."""

    started_s: float
    ended_s: float


class PlannedStop(NamedTuple):
    """A planned stop of a process.

    Attributes:
        instance: The number of the instance.
        process: The number of the process of that instance.
        signalled_s: When SIGTERM was sent, in seconds.
        ended_s: When the process had ended, in seconds.
        exit_code: Its exit code.
        killed: Whether it was killed at the end of the grace period.
    """

    instance: int
    process: int
    signalled_s: float
    ended_s: float
    exit_code: int
    killed: bool


class Reload(NamedTuple):
    """A SIGHUP to a process."""

    instance: int
    process: int
    at_s: float


class StopChecks:
    """Collects planned stops and the ends of requests; judges them at the end of the soak.

    Attributes:
        stops: The planned stops.
        reloads: The reloads of settings.
        ended: The ends of all requests.
        works: The works of backend servers.
        pauses: The pauses of the processes of each instance, and stalls of the machine.
        kills: The unplanned ends of processes of each instance.
        cuts: The times in which each instance was cut off from backend servers.
    """

    def __init__(self, *, slack: float) -> None:
        """Initialise the checks.

        Args:
            slack: The factor on time bounds, for a busy machine.
        """
        self.stops: list[PlannedStop] = []
        self.reloads: list[Reload] = []
        self.ended: list[Ended] = []
        self.works: dict[str, list[Work]] = defaultdict(list)
        self.pauses: dict[int, list[Period]] = defaultdict(list)
        self.kills: dict[int, list[float]] = defaultdict(list)
        self.cuts: dict[int, list[Period]] = defaultdict(list)
        self._slack = slack

    @property
    def summary(self) -> str:
        """The numbers of stops, of killed processes, and of requests refused by a stop."""
        killed = sum(stop.killed for stop in self.stops)
        refused = sum(ended.refused_by_stop for ended in self.ended)
        statuses = Counter(self._ended_in_stop())
        return (
            f"{len(self.stops)} stops, {killed} killed, {len(self.reloads)} reloads, "
            f"{refused} requests refused as stopping, "
            f"statuses sent in a stop {dict(sorted(statuses.items()))}"
        )

    def violations(self) -> list[str]:
        """Return a message for each violation."""
        found = [message for stop in self.stops for message in self._stop_violations(stop)]
        stops = {(stop.instance, stop.process): stop for stop in self.stops}
        for ended in self.ended:
            found += self._refusal_violations(ended)
            stop = stops.get((ended.instance, ended.process))
            if stop is not None:
                found += self._lost_by_stop(ended, stop)
            if stop is None or ended.ended_s < stop.signalled_s:
                found += self._lost_by_reload(ended)
        return found

    def _ended_in_stop(self) -> list[int]:
        stops = {(stop.instance, stop.process): stop for stop in self.stops}
        return [
            ended.status
            for ended in self.ended
            if (stop := stops.get((ended.instance, ended.process))) is not None
            and ended.sent_s >= stop.signalled_s
        ]

    def _stop_violations(self, stop: PlannedStop) -> list[str]:
        if stop.killed and not self._had_no_time(stop):
            return [f"{stop}: had to be killed {GRACE_S} s after SIGTERM"]
        if not stop.killed and stop.exit_code != 0:
            return [f"{stop}: exit code {stop.exit_code} after SIGTERM, expected 0"]
        return []

    def _had_no_time(self, stop: PlannedStop) -> bool:
        """Return whether a pause left a process less than ``MIN_RUNNING_S`` before its kill."""
        due_s = stop.signalled_s + GRACE_S
        return self._overlaps(
            self.pauses[stop.instance], due_s - MIN_RUNNING_S * self._slack, due_s
        )

    def _refusal_violations(self, ended: Ended) -> list[str]:
        if not ended.refused_by_stop:
            return []
        works = self.works.get(ended.request_id, [])
        if any(work.end is not WorkEnd.BROKE_OFF for work in works):
            return [f"{ended}: refused by a stop although it ran: {works}"]
        late_s = ended.ended_s - ended.sent_s
        paused = self._overlaps(self.pauses[ended.instance], ended.sent_s, ended.ended_s)
        if works or paused or ended.queued or late_s <= MAX_REFUSAL_S * self._slack:
            return []
        return [f"{ended}: refused by a stop only after {late_s:.2f} s"]

    def _lost_by_stop(self, ended: Ended, stop: PlannedStop) -> list[str]:
        if not stop.signalled_s <= ended.ended_s <= stop.signalled_s + GRACE_S + AFTER_GRACE_S:
            return []
        works = self.works.get(ended.request_id, [])
        if not self._is_lost(ended, works):
            return []
        worked_until_s = max((work.ended_s for work in works), default=0.0)
        if (
            ended.sent_s <= stop.signalled_s + EXCUSED_SENT_S
            and worked_until_s >= stop.signalled_s + EXCUSED_WORK_S
        ):
            return []
        if not self._has_paused(ended):
            return [f"LOST by a stop: {ended} {works} {stop}"]
        # What was sent and never read in a pause is not known to be taken.
        if not works or (stop.killed and self._had_no_time(stop)):
            return []
        return [f"LOST by a stop beside a pause: {ended} {works} {stop}"]

    def _lost_by_reload(self, ended: Ended) -> list[str]:
        works = self.works.get(ended.request_id, [])
        reloads = [
            reload
            for reload in self.reloads
            if (reload.instance, reload.process) == (ended.instance, ended.process)
            and reload.at_s <= ended.ended_s
            and ended.sent_s <= reload.at_s + RELOAD_WINDOW_S
        ]
        if not reloads or self._has_paused(ended) or not self._is_lost(ended, works):
            return []
        return [f"LOST by a reload: {ended} {works} {reloads[0]}"]

    def _is_lost(self, ended: Ended, works: Sequence[Work]) -> bool:
        """Return whether a request lacks the answer that it should have got."""
        if ended.ended_s >= ended.sent_s + ended.limit_s - LIMIT_SLACK_S:
            return False
        if works and works[-1].end is WorkEnd.BROKE_OFF:
            return False
        if self._is_excused(ended):
            return False
        if ended.status:
            # A complete answer in place of that of a backend server at work.
            return ended.status >= 500 and bool(works) and works[-1].end is WorkEnd.LEFT
        if works:
            return True
        return not ended.queued and ended.ended_s > ended.sent_s + LOSS_SLACK_S * self._slack

    def _is_excused(self, ended: Ended) -> bool:
        """Return whether a process was killed or its instance cut off near a request."""
        from_s = ended.sent_s - SETTLE_WINDOW_S
        killed = any(from_s <= at_s <= ended.ended_s for at_s in self.kills[ended.instance])
        return killed or self._overlaps(self.cuts[ended.instance], from_s, ended.ended_s)

    def _has_paused(self, ended: Ended) -> bool:
        from_s = ended.sent_s - SETTLE_WINDOW_S
        return self._overlaps(self.pauses[ended.instance], from_s, ended.ended_s)

    def _overlaps(self, periods: Sequence[Period], from_s: float, to_s: float) -> bool:
        return any(period.started_s <= to_s and period.ended_s >= from_s for period in periods)
