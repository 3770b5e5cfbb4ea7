"""What one instance knows of the moves, and where it sends each request because of them."""

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

REPORT_TTL_S: Final = 4.0
"""A peer's report older than this says nothing any more, in seconds."""


class _ActiveMove:
    """One move of the configuration in force."""

    def __init__(self, *, move: Move, config: EffectiveConfig, clock: Clock) -> None:
        groups = config.services[move.service].groups
        old = {server.address for server in groups[move.from_group]}
        self.move = move
        self.plan = plan_fingerprint(move)
        self.old_servers = frozenset(old)
        # A backend server of both groups gets no more work by the move than it had.
        self.new_servers = frozenset({server.address for server in groups[move.to_group]} - old)
        self.allowance = PacedAllowance(clock=clock)
        self.window = EvidenceWindow(clock=clock)
        self.reports: dict[str, tuple[float, Evidence]] = {}
        self.held_since = clock.monotonic()


class MoveStatus(NamedTuple):
    """A move on the status page.

    Attributes:
        share: The part of the traffic that goes to the receiving side by this instance's decision.
        allowance_rps: The requests in any second that this instance may send there.
        evidence: What this instance saw of late.
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
    """The progress of all moves, as far as this instance knows it, and what it makes of it."""

    def __init__(
        self, *, clock: Clock, timeline: Timeline, cap_fraction: Callable[[], float]
    ) -> None:
        """Make it without any move.

        Args:
            clock: Of this instance.
            timeline: Records each change of a progress.
            cap_fraction: The part of every cap (0 to 1) that this instance may spend now; the
                parts of all instances never add up to more than 1.
        """
        self._clock = clock
        self._timeline = timeline
        self._cap_fraction = cap_fraction
        self._moves: dict[str, _ActiveMove] = {}
        self._active_by_service: dict[tuple[str, str], _ActiveMove] = {}
        self._progresses: dict[str, MoveProgress] = {}

    @property
    def moves(self) -> Mapping[str, Move]:
        """The moves of the configuration in force."""
        return {name: active.move for name, active in self._moves.items()}

    @property
    def progresses(self) -> Mapping[str, MoveProgress]:
        """The newest progress known of each move."""
        return self._progresses

    def apply(self, config: EffectiveConfig) -> None:
        """Follow another configuration."""
        previous = self._moves
        self._moves = {}
        for name, move in config.moves.items():
            active = _ActiveMove(move=move, config=config, clock=self._clock)
            former = previous.get(name)
            if former is not None:
                # What was sent a moment ago still counts against the cap, whatever changed.
                active.allowance = former.allowance
            if former is not None and former.plan == active.plan:
                active.window, active.reports = former.window, former.reports
                active.held_since = former.held_since
            self._moves[name] = active
        self._active_by_service = {
            (active.move.workspace, active.move.service): active for active in self._moves.values()
        }
        # A progress of a deleted move would be taken for that of the next one of its name.
        self._progresses = {
            name: known for name, known in self._progresses.items() if name in self._moves
        }

    def apply_progress(self, progress: MoveProgress) -> bool:
        """Take in a progress from the platform or a peer; False if it is not news."""
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
            version=progress.version,
            writer=str(progress.writer),
        )
        return True

    def remove_progress(self, name: str) -> None:
        """The platform has no progress of a move any more."""
        self._progresses.pop(name, None)

    def held_s(self, name: str) -> float:
        """Seconds since the newest progress of a move was first seen, or the writing was taken."""
        return self._clock.monotonic() - self._moves[name].held_since

    def restart_holds(self) -> None:
        """Count the time of each step anew: a new writer has watched none of it."""
        for active in self._moves.values():
            active.held_since = self._clock.monotonic()

    def evidence(self, name: str) -> Evidence:
        """What all instances saw of a move that reported of late, this one included."""
        active, now = self._moves[name], self._clock.monotonic()
        recent = [
            evidence
            for reported_at, evidence in active.reports.values()
            if now - reported_at <= REPORT_TTL_S
        ]
        return reduce(Evidence.plus, recent, active.window.sum())

    def own_evidence(self, name: str) -> Evidence:
        """What this instance saw of a move of late."""
        return self._moves[name].window.sum()

    def apply_report(self, *, sender: str, move: str, version: int, evidence: Evidence) -> None:
        """Take in a peer's report; one made under another progress is dropped."""
        active, known = self._moves.get(move), self._progresses.get(move)
        if active is not None and known is not None and known.version == version:
            active.reports[sender] = (self._clock.monotonic(), evidence)

    def route(self, *, workspace: str, service: str, affinity: str) -> "MoveRoute | None":
        """Where a request goes because of a move; None if none concerns it."""
        active = self._active_by_service.get((workspace, service))
        if active is None:
            return None
        return MoveRoute(board=self, active=active, affinity=affinity)

    def record_exchange(
        self, server: BackendAddress, outcome: BackendResponse | BackendFailure, latency_s: float
    ) -> None:
        """Take note of how an exchange ended, whichever workspace it was for."""
        for active in self._moves.values():
            if server in active.new_servers:
                active.window.add(_classify_exchange(outcome, latency_s))
            elif server in active.old_servers and isinstance(outcome, BackendResponse):
                active.window.add(Evidence(old_answered=1, old_latency_s=latency_s))

    def share(self, name: str) -> float:
        """The part of a move's traffic (0 to 1) that goes to the receiving side.

        Sound with an old progress too: abort is in the configuration, which arrives by its own
        way, and the cap is spent by shares, whatever the step.
        """
        active, known = self._moves[name], self._progresses.get(name)
        if active.move.state == "abort" or known is None or known.plan != active.plan:
            return 0.0
        return 0.0 if known.state is MoveState.ABORTED else step_share(active.move, known.step)

    def allowance(self, name: str) -> int:
        """The requests in any second that this instance may send to the receiving side now."""
        return floor_share(self._moves[name].move.cap_rps, self._cap_fraction())

    def status(self) -> list[MoveStatus]:
        """All moves, for the status page."""
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
            version=known.version if known is not None else 0,
            share=self.share(name),
            allowance_rps=self.allowance(name),
            evidence=active.window.sum(),
        )


class MoveRoute:
    """Where one request goes because of a move; asked anew whenever a slot is looked for."""

    def __init__(self, *, board: MoveBoard, active: _ActiveMove, affinity: str) -> None:
        self._board = board
        self._active = active
        self._position = caller_position(active.move.name, affinity)
        self._over_cap = False

    @property
    def from_group(self) -> str:
        """The group that takes it otherwise."""
        return self._active.move.from_group

    @property
    def assigned_group(self) -> str | None:
        """The group that its share sends it to; None if it stays with the old one."""
        if self._position >= self._board.share(self._active.move.name):
            return None
        return self._active.move.to_group

    def to_group(self) -> str | None:
        """The group that takes it now if it can; None if the request stays with the old one."""
        group = self.assigned_group
        max_rps = self._board.allowance(self._active.move.name)
        self._over_cap = group is not None and not self._active.allowance.has_room(max_rps)
        return None if self._over_cap else group

    def record_slot_taken(self, server: BackendAddress) -> None:
        """A slot was taken, in the same step as ``to_group`` was asked for."""
        if server in self._active.new_servers:
            self._active.allowance.spend(self._board.allowance(self._active.move.name))
        elif self._over_cap:
            self._active.window.add(Evidence(over_cap=1))
        elif self.assigned_group is not None:
            self._active.window.add(Evidence(spilled=1))


def caller_position(move: str, affinity: str) -> float:
    """A number from 0 to 1 that is always the same for the same caller and thing asked for.

    A request goes over once the share exceeds its position, so each step adds callers and takes
    none back, and what a moved caller asked for before is asked for where it is cached.
    """
    digest = blake2b(f"{move} {affinity}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2.0**64


def _classify_exchange(outcome: BackendResponse | BackendFailure, latency_s: float) -> Evidence:
    if isinstance(outcome, BackendResponse):
        return Evidence(answered=1, latency_s=latency_s)
    return Evidence(shed=1) if outcome.shed else Evidence(failed=1)
