"""The progress of moves as one instance knows it, and the routing of requests by it."""

from collections.abc import Callable, Mapping, Sequence
from functools import reduce
from hashlib import blake2b
from typing import Final, NamedTuple

from wagtailpoint.config.model import EffectiveConfig, Move
from wagtailpoint.moves.decision import step_share
from wagtailpoint.moves.evidence import Evidence, EvidenceWindow
from wagtailpoint.moves.pacing import PacedAllowance, floor_share
from wagtailpoint.moves.progress import NOT_BEGUN, MoveProgress, MoveState, plan_fingerprint
from wagtailpoint.observe.timeline import Timeline
from wagtailpoint.ports.backend import BackendAddress, BackendFailure, BackendResponse
from wagtailpoint.ports.clock import Clock
from wagtailpoint.revision import Revision

REPORT_TTL_S: Final = 4.0
"""Reports of peers that are older than this are ignored, in seconds."""


class _ActiveMove:
    """A move of the enforced configuration, with this instance's allowance and evidence."""

    def __init__(self, *, move: Move, config: EffectiveConfig, clock: Clock) -> None:
        groups = config.services[move.service].groups
        old = {server.address for server in groups[move.from_group]}
        self.move = move
        self.plan = plan_fingerprint(move)
        self.old_servers = frozenset(old)
        # A backend server in both groups gets no additional work from the move.
        self.new_servers = frozenset({server.address for server in groups[move.to_group]} - old)
        self.allowance = PacedAllowance(clock=clock)
        self.window = EvidenceWindow(clock=clock)
        self.reports: dict[str, tuple[float, Evidence]] = {}
        self.held_since = clock.monotonic()


class MoveStatus(NamedTuple):
    """The status of a move, for the status page.

    Attributes:
        cap_rps: The cap of all instances together, in requests per second.
        wanted: The state that the configuration asks for.
        since: When the step began, in seconds since the epoch; None if the move has not begun.
        share: The fraction of the traffic that this instance sends to the receiving side.
        allowance_rps: The requests that this instance may send there in any second.
        evidence: The recent evidence of this instance.
    """

    name: str
    workspace: str
    service: str
    from_group: str
    to_group: str
    cap_rps: float
    wanted: str
    steps: Sequence[float]
    step: int
    state: str
    reason: str
    since: float | None
    writer: str
    version: int
    share: float
    allowance_rps: int
    evidence: Evidence


class MoveBoard:
    """Tracks the progress of all moves, and routes requests by it."""

    def __init__(
        self, *, clock: Clock, timeline: Timeline, cap_fraction: Callable[[], float]
    ) -> None:
        """Initialise the board without any move.

        Args:
            clock: The clock of this instance.
            timeline: Records each change of a move's progress.
            cap_fraction: Returns the fraction of every cap (0 to 1) that this instance may use
                at present; the fractions of all instances never add up to more than 1.
        """
        self._clock = clock
        self._timeline = timeline
        self._cap_fraction = cap_fraction
        self._moves: dict[str, _ActiveMove] = {}
        self._active_by_service: dict[tuple[str, str], _ActiveMove] = {}
        self._progresses: dict[str, MoveProgress] = {}

    @property
    def moves(self) -> Mapping[str, Move]:
        """The moves of the enforced configuration, by name."""
        return {name: active.move for name, active in self._moves.items()}

    @property
    def progresses(self) -> Mapping[str, MoveProgress]:
        """The newest known progress of each move, by name."""
        return self._progresses

    def apply(self, config: EffectiveConfig) -> None:
        """Replace the configuration, keeping what still applies of each move's state."""
        previous = self._moves
        self._moves = {}
        for name, move in config.moves.items():
            active = _ActiveMove(move=move, config=config, clock=self._clock)
            former = previous.get(name)
            if former is not None:
                # Requests sent just before the change still count against the cap.
                active.allowance = former.allowance
            if former is not None and former.plan == active.plan:
                active.window, active.reports = former.window, former.reports
                active.held_since = former.held_since
            self._moves[name] = active
        self._active_by_service = {
            (active.move.workspace, active.move.service): active for active in self._moves.values()
        }
        # The progress of a deleted move would otherwise be applied to a later move of that name.
        self._progresses = {
            name: known for name, known in self._progresses.items() if name in self._moves
        }

    def apply_progress(self, progress: MoveProgress) -> bool:
        """Apply a progress from the platform or a peer; return whether it was newer."""
        active = self._moves.get(progress.move)
        known = self._progresses.get(progress.move)
        if active is None or (known is not None and progress.version <= known.version):
            return False
        self._progresses[progress.move] = progress
        active.held_since = self._clock.monotonic()
        if known is None or known.step != progress.step:
            active.window.clear()
            active.reports.clear()
        self._timeline.record(
            "move-step",
            name=progress.move,
            step=progress.step,
            share=step_share(active.move, progress.step),
            state=progress.state.value,
            reason=progress.reason,
            version=str(progress.version),
            writer=str(progress.writer),
        )
        return True

    def remove_progress(self, name: str) -> None:
        """Remove the progress of a move that the platform does not have."""
        self._progresses.pop(name, None)

    def held_s(self, name: str) -> float:
        """Return the seconds since a move's newest progress arrived or its hold restarted."""
        return self._clock.monotonic() - self._moves[name].held_since

    def restart_holds(self) -> None:
        """Restart the hold time of each step: a new writer has not observed the step so far."""
        for active in self._moves.values():
            active.held_since = self._clock.monotonic()

    def evidence(self, name: str) -> Evidence:
        """Return the summed recent evidence on a move, of this instance and its peers."""
        active, now = self._moves[name], self._clock.monotonic()
        recent = [
            evidence
            for reported_at, evidence in active.reports.values()
            if now - reported_at <= REPORT_TTL_S
        ]
        return reduce(Evidence.plus, recent, active.window.sum())

    def own_evidence(self, name: str) -> Evidence:
        """Return the recent evidence of this instance on a move."""
        return self._moves[name].window.sum()

    def apply_report(
        self, *, sender: str, move: str, version: Revision, evidence: Evidence
    ) -> None:
        """Store a peer's report, unless it was made under another version of the progress."""
        active, known = self._moves.get(move), self._progresses.get(move)
        if active is not None and known is not None and known.version == version:
            active.reports[sender] = (self._clock.monotonic(), evidence)

    def route(self, *, workspace: str, service: str, affinity: str) -> "MoveRoute | None":
        """Return the route of a request that a move concerns; None if no move concerns it."""
        active = self._active_by_service.get((workspace, service))
        if active is None:
            return None
        return MoveRoute(board=self, active=active, affinity=affinity)

    def record_exchange(
        self, server: BackendAddress, outcome: BackendResponse | BackendFailure, latency_s: float
    ) -> None:
        """Record the outcome of an exchange as evidence, regardless of its workspace."""
        for active in self._moves.values():
            if server in active.new_servers:
                active.window.add(_classify_exchange(outcome, latency_s))
            elif server in active.old_servers and isinstance(outcome, BackendResponse):
                active.window.add(Evidence(old_answered=1, old_latency_s=latency_s))

    def share(self, name: str) -> float:
        """Return the fraction of a move's traffic (0 to 1) that goes to the receiving side.

        A stale progress is safe: an abort is part of the configuration, which arrives separately,
        and each instance keeps to its fraction of the cap at every step.
        """
        active, known = self._moves[name], self._progresses.get(name)
        if active.move.state == "abort" or known is None or known.plan != active.plan:
            return 0.0
        return 0.0 if known.state is MoveState.ABORTED else step_share(active.move, known.step)

    def allowance(self, name: str) -> int:
        """Return the requests that this instance may send to the receiving side in any second."""
        return floor_share(self._moves[name].move.cap_rps, self._cap_fraction())

    def status(self) -> list[MoveStatus]:
        """Return the status of all moves, for the status page."""
        return [self._status(name, active) for name, active in self._moves.items()]

    def _status(self, name: str, active: _ActiveMove) -> MoveStatus:
        move, known = active.move, self._progresses.get(name)
        return MoveStatus(
            name=name,
            workspace=move.workspace,
            service=move.service,
            from_group=move.from_group,
            to_group=move.to_group,
            cap_rps=move.cap_rps,
            wanted=move.state,
            steps=move.steps,
            step=known.step if known is not None else NOT_BEGUN,
            state=known.state.value if known is not None else "not-begun",
            reason=known.reason if known is not None else "",
            since=known.since if known is not None else None,
            writer=str(known.writer) if known is not None else "",
            version=known.version.number if known is not None else 0,
            share=self.share(name),
            allowance_rps=self.allowance(name),
            evidence=active.window.sum(),
        )


class MoveRoute:
    """Chooses the group for one request by a move, again at each attempt to find a slot."""

    def __init__(self, *, board: MoveBoard, active: _ActiveMove, affinity: str) -> None:
        self._board = board
        self._active = active
        self._position = caller_position(active.move.name, affinity)
        self._over_cap = False

    @property
    def from_group(self) -> str:
        """The group that serves the request if it is not moved."""
        return self._active.move.from_group

    @property
    def assigned_group(self) -> str | None:
        """The group that the share assigns; None if the request stays with the old one."""
        if self._position >= self._board.share(self._active.move.name):
            return None
        return self._active.move.to_group

    def to_group(self) -> str | None:
        """Return the group to try first; None if the request stays with the old one.

        A request over the allowance of this instance stays with the old group.
        """
        group = self.assigned_group
        max_rps = self._board.allowance(self._active.move.name)
        self._over_cap = group is not None and not self._active.allowance.has_room(max_rps)
        return None if self._over_cap else group

    def record_slot_taken(self, server: BackendAddress) -> None:
        """Record the slot taken for the request.

        Must follow ``to_group`` with no await in between, or the cap could be exceeded.
        """
        if server in self._active.new_servers:
            self._active.allowance.spend(self._board.allowance(self._active.move.name))
        elif self._over_cap:
            self._active.window.add(Evidence(over_cap=1))
        elif self.assigned_group is not None:
            self._active.window.add(Evidence(spilled=1))


def caller_position(move: str, affinity: str) -> float:
    """Return a number from 0 to 1 that is constant for a move and an affinity key.

    A request is moved once the share exceeds its position. So each step adds callers and removes
    none, and a moved caller's repeated requests reach the side where the results are cached.
    """
    digest = blake2b(f"{move} {affinity}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2.0**64


def _classify_exchange(outcome: BackendResponse | BackendFailure, latency_s: float) -> Evidence:
    if isinstance(outcome, BackendResponse):
        return Evidence(answered=1, latency_s=latency_s)
    return Evidence(shed=1) if outcome.shed else Evidence(failed=1)
